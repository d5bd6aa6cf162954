package storage

import (
	"context"
	"errors"
)

// ErrNoObject means that the object does not exist.
var ErrNoObject = errors.New("no such object")

// Objects is the object store, for bulk records.
type Objects interface {
	// Put stores an object under key, replacing one that exists.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the object, or ErrNoObject (wrapped).
	Get(ctx context.Context, key string) ([]byte, error)
}

package storage

import (
	"context"
	"errors"
)

// ErrObjectNotFound means that the object does not exist.
var ErrObjectNotFound = errors.New("no such object")

// Objects is the object store, used for large records.
type Objects interface {
	// Put stores an object under key. It replaces an existing object.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the object, or ErrObjectNotFound (wrapped).
	Get(ctx context.Context, key string) ([]byte, error)
}

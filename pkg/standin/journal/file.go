// Package journal appends the records of a stand-in to a file, so that tests
// can check what the stand-in ran even after it has crashed.
package journal

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
)

// fileMode makes the journal readable by the test that started the stand-in.
const fileMode = 0o644

// File is an append-only file of JSON lines. A nil *File discards records.
// It is safe for concurrent use.
type File struct {
	mu  sync.Mutex
	out *os.File
}

// Open opens path for appending and creates it if needed. It returns nil for
// an empty path.
func Open(path string) (*File, error) {
	if path == "" {
		return nil, nil
	}
	out, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	return &File{out: out}, nil
}

// Append writes record as one line with a single write call, so that a crash
// of the process leaves no partially written line.
func (f *File) Append(record any) error {
	if f == nil {
		return nil
	}
	line, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode journal record: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.out.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("append to journal: %w", err)
	}
	return nil
}

// Close closes the file.
func (f *File) Close() error {
	if f == nil {
		return nil
	}
	return f.out.Close()
}

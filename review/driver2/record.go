//go:build review

package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Record is the record of a case; it is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Log writes a line with the seconds since the start of the case, to the file and to standard output.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(io.MultiWriter(r.file, os.Stdout), "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

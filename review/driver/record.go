//go:build review

package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start; it is safe for concurrent use.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = io.WriteString(r.file, line)
	fmt.Print(line)
}

func (r *record) close() { _ = r.file.Close() }

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format, args...)
	fmt.Fprintln(r.file)
}

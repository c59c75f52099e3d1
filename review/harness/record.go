package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run. It is safe for
// concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(file string) (*record, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Close()
}

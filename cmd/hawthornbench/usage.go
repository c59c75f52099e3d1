package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of CPU time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// pageBytes is the unit of resident memory in /proc/PID/stat.
	pageBytes = 4096
)

// usage is the CPU time that a process has consumed and its resident memory in
// bytes.
type usage struct {
	cpu time.Duration
	rss int64
}

// usageOf reads the usage of a process from /proc.
func (f *fleet) usageOf(name string) (usage, error) {
	pid := f.instances[name].cmd.Process.Pid
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read usage of %s: %w", name, err)
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	pages, err3 := strconv.ParseInt(fields[21], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return usage{}, fmt.Errorf("parse usage of %s", name)
	}
	return usage{cpu: time.Duration(user+system) * clockTick, rss: pages * pageBytes}, nil
}

// usages returns the usage of each named process.
func (f *fleet) usages(names []string) (map[string]usage, error) {
	out := make(map[string]usage, len(names))
	for _, name := range names {
		u, err := f.usageOf(name)
		if err != nil {
			return nil, err
		}
		out[name] = u
	}
	return out, nil
}

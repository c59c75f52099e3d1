package main

import (
	"os"
	"strings"
	"testing"
)

// maxLoggedLines is the number of lines of each process that a failed test prints.
const maxLoggedLines = 60

// logsOnFailure prints what the processes of a fleet have logged during a test, if the
// test fails. The fleet's folder is gone afterwards.
func logsOnFailure(t *testing.T, f *fleet) {
	t.Helper()
	start := make(map[string]int64)
	for name, in := range f.instances {
		if info, err := os.Stat(in.log); err == nil {
			start[name] = info.Size()
		}
	}
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		for name, in := range f.instances {
			text, err := os.ReadFile(in.log)
			if err != nil {
				t.Logf("log of %s: %v", name, err)
				continue
			}
			text = text[min(start[name], int64(len(text))):]
			lines := strings.Split(strings.TrimSpace(string(text)), "\n")
			lines = lines[max(0, len(lines)-maxLoggedLines):]
			t.Logf("%s logged:\n%s", name, strings.Join(lines, "\n"))
		}
	})
}

//go:build cgo

package hangup

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// childVariable is set in the environment of a process that the tests start.
const childVariable = "HANGUP_TEST_CHILD"

// childLifetime is how long such a process runs.
const childLifetime = 50 * time.Millisecond

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		time.Sleep(childLifetime)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestSignalWhileStarting guards against a process that a SIGHUP ends before the process has
// asked for the signal. The signal is sent as soon as the process has any signal handler or
// ignores any signal: the Go runtime takes all signals before it initialises packages.
func TestSignalWhileStarting(t *testing.T) {
	for range 20 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), childVariable+"=1")
		if err := cmd.Start(); err != nil {
			t.Fatalf("start: %v", err)
		}
		for end := time.Now().Add(5 * time.Second); !handlesSignals(t, cmd.Process.Pid); {
			if time.Now().After(end) {
				t.Fatal("the process handles no signal after 5 s")
			}
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatalf("signal: %v", err)
		}
		if err := cmd.Wait(); err != nil {
			t.Fatalf("got %v, want a process that runs to its end", err)
		}
	}
}

// handlesSignals reports whether a process has a signal handler or ignores a signal.
func handlesSignals(t *testing.T, pid int) bool {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatalf("read status: %v", err)
	}
	for line := range strings.Lines(string(status)) {
		name, mask, _ := strings.Cut(line, ":")
		if (name == "SigIgn" || name == "SigCgt") && strings.Trim(mask, "0\t\n") != "" {
			return true
		}
	}
	return false
}

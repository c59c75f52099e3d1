//go:build !cgo

package hangup

import (
	"os/signal"
	"syscall"
)

// inherited is set if the parent had the process ignore SIGHUP. It is initialised before
// signals, which takes the signal.
var inherited = signal.Ignored(syscall.SIGHUP)

// wasIgnored reports whether the parent had the process ignore SIGHUP.
func wasIgnored() bool { return inherited }

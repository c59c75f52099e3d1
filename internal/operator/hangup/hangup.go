// Package hangup takes SIGHUP from the first moments of a process on.
//
// The default action of SIGHUP ends a process, and an operator may ask a process to reload
// its settings while it starts. Built with cgo, a process ignores the signal before the Go
// runtime starts: the settings are read later anyway. The package takes the signal when it
// is initialised, early, because it imports nothing but the standard library's packages for
// signals.
//
// # Usage
//
//	for range hangup.Signals() {
//		reload()
//	}
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// exitCode is the exit code of a command that SIGHUP ends, as shells report it.
const exitCode = 128 + int(syscall.SIGHUP)

// signals receives SIGHUP since the package was initialised. It has capacity 1: one reload
// serves all signals that came before it.
var signals = make(chan os.Signal, 1)

func init() {
	if !wasIgnored() {
		signal.Notify(signals, syscall.SIGHUP)
	}
}

// Signals returns the channel that receives SIGHUP, with one that has come before the call. It
// does so also where the parent had the process ignore the signal.
func Signals() <-chan os.Signal {
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// EndProcess has SIGHUP end the process, unless the parent had the process ignore it. It is
// for commands that end with their terminal.
func EndProcess() {
	go func() {
		<-signals
		os.Exit(exitCode)
	}()
}

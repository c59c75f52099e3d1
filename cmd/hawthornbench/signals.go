package main

import "syscall"

// The signals that suspend and resume a process.
const (
	sigStop = syscall.SIGSTOP
	sigCont = syscall.SIGCONT
)

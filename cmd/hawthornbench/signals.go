package main

import "syscall"

// The signals that freeze and thaw a process.
const (
	sigStop = syscall.SIGSTOP
	sigCont = syscall.SIGCONT
)

//go:build cgo

package hangup

/*
#include <signal.h>

// hangup_was_ignored is set if the parent had the process ignore SIGHUP.
static int hangup_was_ignored;

// ignore_hangup runs before the Go runtime starts, which takes over a signal that is ignored
// only when it is asked for.
__attribute__((constructor)) static void ignore_hangup(void) {
	hangup_was_ignored = signal(SIGHUP, SIG_IGN) == SIG_IGN;
}

static int was_ignored(void) { return hangup_was_ignored; }
*/
import "C"

// wasIgnored reports whether the parent had the process ignore SIGHUP.
func wasIgnored() bool { return C.was_ignored() != 0 }

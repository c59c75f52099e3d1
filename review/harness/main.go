package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun ends a case that takes too long.
const maxRun = 115 * time.Second

// scenario plays a case and reports whether the rule was broken. trouble is false if the
// disruption is to be left out.
type scenario func(f *fleet, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"replaced-then-wiped": replacedThenWiped,
	"removed-while-alive": removedWhileAlive,
	"copied-failure":      copiedFailure,
	"omitted-stage":       omittedStage,
	"copied-conflict":     copiedConflict,
	"unreadable-id":       unreadableID,
	"earlier-born":        earlierBorn,
	"gone-then-killed":    goneThenKilled,
	"escaped-slash":       escapedSlash,
	"frozen-owner":        frozenOwner,
	"version-zero":        versionZero,
	"large-bodies":        largeBodies,
	"capital-host":        capitalHost,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD; it is started by the run.sh of a case")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

// play runs a scenario in a temporary folder and returns the exit code.
func play(s scenario, recordFile string) int {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.note("cannot run: %v", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	binary, err := filepath.Abs("target/hawthornhub")
	if err != nil {
		rec.note("cannot run: %v", err)
		return exitNotRun
	}
	f, err := newFleet(dir, binary, rec)
	if err != nil {
		rec.note("cannot run: %v", err)
		return exitNotRun
	}
	defer f.stopAll()
	type ending struct {
		broken bool
		err    error
	}
	ended := make(chan ending, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("trouble: %t", trouble)
	go func() {
		broken, err := s(f, trouble)
		ended <- ending{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case e := <-ended:
		switch {
		case e.err != nil:
			rec.note("cannot run: %v", e.err)
			return exitNotRun
		case e.broken:
			rec.note("RULE BROKEN")
			return exitBroken
		default:
			rec.note("rule held")
			return exitHeld
		}
	case <-signals:
		rec.note("cannot run: stopped from outside")
		return exitNotRun
	case <-time.After(maxRun):
		rec.note("cannot run: over %v", maxRun)
		return exitNotRun
	}
}

// Command review2 plays one case of the review against the real programs.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var scenes = map[string]func(*record, bool) (bool, error){}

// lengthLimit is the longest time that a case may run.
const lengthLimit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 SCENE RECORD")
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	time.AfterFunc(lengthLimit, func() {
		r.add("the case takes too long")
		os.Exit(failed)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("scene %s, disruption %t", os.Args[1], trouble)
	isBroken, err := scenes[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(failed)
	case isBroken:
		r.add("rule broken")
		fmt.Println("rule broken")
		os.Exit(broken)
	}
	r.add("rule held")
	fmt.Println("rule held")
	os.Exit(held)
}

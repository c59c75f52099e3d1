// Command drive3 runs one script case of the review: it starts the project's programs as
// processes on loopback, plays clients, servers and the operator, and writes record.txt.
//
// Usage: drive3 CASE FOLDER. TROUBLE=0 leaves out the disruption. The exit code is 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var cases = map[string]func(f *fleet, trouble bool) (broken bool){
	"lost-config": lostConfig,
	"anonymous":   anonymous,
	"fraction":    fraction,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive3 CASE FOLDER")
		return 2
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	rec := &record{start: time.Now(), out: out}
	defer func() {
		if e := recover(); e != nil {
			setup, ok := e.(errSetup)
			if !ok {
				panic(e)
			}
			rec.printf("the case could not run: %v", setup)
			fmt.Println("the case could not run:", setup)
			code = 2
		}
	}()
	f := newFleet(rec)
	defer f.close()
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stops
		f.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	if cases[os.Args[1]](f, trouble) {
		rec.printf("the rule was BROKEN")
		fmt.Println("the rule was BROKEN")
		return 1
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}

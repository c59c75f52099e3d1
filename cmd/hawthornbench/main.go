// Command hawthornbench runs fleets of real processes on the loopback interface
// for demonstrations, fault injection and benchmarks. Simulated upstreams, the
// stand-ins of cmd/standin, take the place of real ones.
//
// Each subcommand builds the programs, starts a fleet in a temporary directory,
// prints its results and stops the fleet.
//
// # Usage
//
//	go run ./cmd/hawthornbench demo
//	go run ./cmd/hawthornbench path
//	go run ./cmd/hawthornbench matrix
//	go run ./cmd/hawthornbench state
//	go run ./cmd/hawthornbench slopes
//	go run ./cmd/hawthornbench measure
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// command is a subcommand and the function that runs it.
type command struct {
	clause *kingpin.CmdClause
	run    func() error
}

func main() {
	app := kingpin.New("hawthornbench", "Runs fleets of real processes on loopback for demonstrations, fault injection and benchmarks.")
	commands := []command{demoCommand(app), pathCommand(app), matrixCommand(app), stateCommand(app), slopesCommand(app), measureCommand(app)}
	selected := kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, c := range commands {
		if c.clause.FullCommand() != selected {
			continue
		}
		if err := c.run(); err != nil {
			fmt.Fprintln(os.Stderr, "hawthornbench:", err)
			os.Exit(1)
		}
	}
}

// Command hawthornbench starts fleets of real processes on loopback, shows
// them, loads them and measures them.
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

// command is one subcommand: its name and what it does.
type command struct {
	clause *kingpin.CmdClause
	run    func() error
}

func main() {
	app := kingpin.New("hawthornbench", "Fleets of real processes on loopback, for demonstration and measurement.")
	commands := []command{demoCommand(app), pathCommand(app), matrixCommand(app), stateCommand(app), slopesCommand(app), measureCommand(app)}
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, c := range commands {
		if c.clause.FullCommand() != chosen {
			continue
		}
		if err := c.run(); err != nil {
			fmt.Fprintln(os.Stderr, "hawthornbench:", err)
			os.Exit(1)
		}
	}
}

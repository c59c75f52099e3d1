// Command hawthornhub runs the processes of the fleet and the operators'
// commands.
//
// # Usage
//
//	hawthornhub entry|agent|control|gateway|registry --settings FILE
//	hawthornhub check --settings FILE --role ROLE [--document FILE]
//	hawthornhub config get|edit|history --control ADDRESS --team NAME --key-file FILE
//	hawthornhub document get|put --control ADDRESS --key-file FILE
//	hawthornhub status|drain|orders|timeline --control ADDRESS --team NAME --key-file FILE
//	hawthornhub explain REQUEST LOG...
//	hawthornhub version
//
// Exit codes: 0 done; 1 failed; 2 wrong usage, settings or document; 3 refused
// (conflict, forbidden, invalid); 4 no answer from control.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// version is the program's version.
const version = "0.1.0"

// Exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitRefused  = 3
	exitNoAnswer = 4
)

// exitError ends the program with a code.
type exitError struct {
	code int
	err  error
}

// Error returns the cause's text.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// command is one subcommand: its name and what it does.
type command struct {
	clause *kingpin.CmdClause
	run    func() error
}

func main() {
	app := kingpin.New("hawthornhub", "Serving system for multi-stage model pipelines.")
	app.HelpFlag.Short('h')
	commands := []command{
		entryCommand(app),
		agentCommand(app),
		controlCommand(app),
		gatewayCommand(app),
		registryCommand(app),
		checkCommand(app),
	}
	commands = append(commands, configCommands(app)...)
	commands = append(commands, statusCommand(app), drainCommand(app), timelineCommand(app))
	commands = append(commands, orderCommands(app)...)
	commands = append(commands, documentCommands(app)...)
	commands = append(commands, explainCommand(app), versionCommand(app))
	chosen, err := app.Parse(os.Args[1:])
	if err != nil {
		fail(&exitError{code: exitUsage, err: fmt.Errorf("%w; see hawthornhub --help", err)})
	}
	for _, c := range commands {
		if c.clause.FullCommand() == chosen {
			if err := c.run(); err != nil {
				fail(err)
			}
			return
		}
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "hawthornhub:", err)
	var coded *exitError
	if errors.As(err, &coded) {
		os.Exit(coded.code)
	}
	os.Exit(exitFailed)
}

func versionCommand(app *kingpin.Application) command {
	return command{clause: app.Command("version", "Print the version."), run: func() error {
		fmt.Println("hawthornhub", version)
		return nil
	}}
}

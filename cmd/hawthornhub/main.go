// Command hawthornhub runs the processes of a fleet and sends operators'
// commands to it.
//
// # Usage
//
//	hawthornhub entry|agent|control|gateway|registry --settings FILE
//	hawthornhub check FILE [--against FILE|ADDRESS] [--json]
//	hawthornhub check --settings FILE --role ROLE [--document FILE]
//	hawthornhub config get|edit|history --control ADDRESS --team NAME --key-file FILE
//	hawthornhub document get|put --control ADDRESS --key-file FILE
//	hawthornhub status|drain|orders|timeline --control ADDRESS --team NAME --key-file FILE
//	hawthornhub evacuate|restore ZONE --control ADDRESS --team NAME --key-file FILE
//	hawthornhub evacuate|restore ZONE --registry ADDRESS
//	hawthornhub status --registry ADDRESS
//	hawthornhub explain REQUEST LOG...
//	hawthornhub version
//
// Exit codes: 0 success; 1 failure; 2 invalid usage, settings or document;
// 3 request refused (conflict, forbidden, invalid); 4 no control instance
// answered. Of check FILE: 0 nothing found; 1 warnings only; 2 errors; 3 not
// checked.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"hawthornhub.example/hawthornhub/internal/operator/hangup"
)

const version = "0.1.0"

// Exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitRefused  = 3
	exitNoAnswer = 4
)

// exitError is an error that ends the program with a specific exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// command is a subcommand: its kingpin clause and the function that runs it.
type command struct {
	clause *kingpin.CmdClause
	run    func() error
}

// longRunning are the commands that run until they are stopped. They reload at SIGHUP.
var longRunning = map[string]bool{"entry": true, "agent": true, "control": true, "gateway": true, "registry": true}

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
	commands = append(commands, evacuationCommands(app)...)
	commands = append(commands, documentCommands(app)...)
	commands = append(commands, explainCommand(app), versionCommand(app))
	selected, err := app.Parse(os.Args[1:])
	if err != nil {
		exitWithError(&exitError{code: usageCode(os.Args[1:]), err: fmt.Errorf("%w; see hawthornhub --help", err)})
	}
	if !longRunning[selected] {
		hangup.EndProcess()
	}
	for _, c := range commands {
		if c.clause.FullCommand() == selected {
			if err := c.run(); err != nil {
				exitWithError(err)
			}
			return
		}
	}
}

func exitWithError(err error) {
	fmt.Fprintln(os.Stderr, "hawthornhub:", err)
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		os.Exit(exitErr.code)
	}
	os.Exit(exitFailed)
}

func versionCommand(app *kingpin.Application) command {
	return command{clause: app.Command("version", "Print the version."), run: func() error {
		fmt.Println("hawthornhub", version)
		return nil
	}}
}

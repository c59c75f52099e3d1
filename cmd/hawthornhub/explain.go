package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"hawthornhub.example/hawthornhub/internal/operator/explain"
)

func explainCommand(app *kingpin.Application) command {
	clause := app.Command("explain", "Reconstruct from log files what happened to a request.")
	request := clause.Arg("request", "Request id.").Required().String()
	files := clause.Arg("log", "Log files of any number of processes; - reads standard input.").Required().Strings()
	asJSON := clause.Flag("json", "Print JSON.").Bool()
	return command{clause: clause, run: func() error {
		r := explain.NewReader(*request)
		for _, name := range *files {
			if err := readLog(r, name); err != nil {
				return &exitError{code: exitUsage, err: err}
			}
		}
		report := r.Report()
		if *asJSON {
			return json.NewEncoder(os.Stdout).Encode(report)
		}
		printReport(report)
		return nil
	}}
}

func readLog(r *explain.Reader, name string) error {
	if name == "-" {
		return r.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log file: %w; give the names of existing files", err)
	}
	defer f.Close()
	return r.Read(f)
}

func printReport(r explain.Report) {
	fmt.Println("request", r.Request)
	for _, l := range r.Lines {
		fmt.Println(" ", l)
	}
	if len(r.Context) > 0 {
		fmt.Println("what was known")
	}
	for _, l := range r.Context {
		fmt.Println(" ", l)
	}
	fmt.Println("cause:", r.Cause)
}

package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"hawthornhub.example/hawthornhub/internal/api/operator"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
	"hawthornhub.example/hawthornhub/internal/state/document"
)

func checkCommand(app *kingpin.Application) command {
	clause := app.Command("check", "Check a site document before it is sent; or validate a settings file, a configuration document, or both.")
	review := newDocumentCheck(clause)
	file := clause.Flag("settings", "Settings file.").String()
	role := clause.Flag("role", "Role of the process that the settings are for.").Default("entry").Enum("entry", "agent", "control", "gateway", "registry")
	doc := clause.Flag("document", "File with a configuration document.").String()
	return command{clause: clause, run: func() error {
		alone := *file == "" && *doc == ""
		if alone || review.requested() {
			return review.run(alone)
		}
		if *file != "" {
			if err := checkSettings(*file, settings.Role(*role)); err != nil {
				return err
			}
			fmt.Println(*file, "ok")
		}
		if *doc == "" {
			return nil
		}
		text, err := os.ReadFile(*doc)
		if err != nil {
			return &exitError{code: exitUsage, err: fmt.Errorf("read document: %w", err)}
		}
		if _, err := document.Parse(string(text)); err != nil {
			return &exitError{code: exitUsage, err: fmt.Errorf("%s: %w", *doc, err)}
		}
		fmt.Println(*doc, "ok")
		return nil
	}}
}

// checkSettings reads and validates the settings file of a process with any role.
func checkSettings(file string, role settings.Role) error {
	if role != settings.RoleGateway && role != settings.RoleRegistry {
		_, err := loadSettings(file, role)
		return err
	}
	if _, err := settings.LoadSite(file, role); err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	return nil
}

func statusCommand(app *kingpin.Application) command {
	clause := app.Command("status", "Print the leader, each process with the document that it applies, and the evacuated zones. Of registries, print the zones.")
	client := newOptionalControlClient(clause)
	registries := registryFlag(clause)
	return command{clause: clause, run: func() error {
		if len(*registries) > 0 {
			return printZones(*registries, *client.jsonOutput)
		}
		if err := client.check(); err != nil {
			return err
		}
		var s operator.Status
		if err := client.do(http.MethodGet, "/v1/status", nil, &s); err != nil || *client.jsonOutput {
			return err
		}
		printStatus(s)
		return nil
	}}
}

func printStatus(s operator.Status) {
	fmt.Printf("leader %s, document %d\n", s.Leader, s.DocumentIndex)
	if len(s.Evacuated) > 0 {
		fmt.Println("evacuated zones:", strings.Join(s.Evacuated, ", "))
	}
	for _, p := range s.Processes {
		fmt.Printf("%-14s %-8s %-14s document %-6d fresh %-5t", p.Name, p.Role, p.Zone, p.Document, p.Fresh)
		if p.Role == string(settings.RoleControl) {
			fmt.Printf(" term %d commit %d voter %t claims %d", p.Term, p.Commit, p.Voter, p.Claims)
		}
		fmt.Println()
	}
	for _, m := range s.Members {
		if m.Role == string(settings.RoleAgent) {
			fmt.Printf("%-14s %-8s %s %s, %d slots, %s\n", m.Name, "upstream", m.Kind, m.Model, m.Slots,
				strings.ToLower(strings.TrimPrefix(m.State.String(), "MEMBER_STATE_")))
		}
	}
	for _, c := range s.Counts {
		fmt.Printf("insurer: service %s account %s day %d: %d calls, %d refused\n", c.Service, c.Account, c.Day, c.Calls, c.Refused)
	}
	if len(s.Unresponsive) > 0 {
		fmt.Println("no answer from", strings.Join(s.Unresponsive, ", "))
	}
}

func drainCommand(app *kingpin.Application) command {
	clause := app.Command("drain", "Drain an entry or agent, so that it gets no new work.")
	client := newControlClient(clause)
	name := clause.Arg("name", "Name of the process to drain.").Required().String()
	return command{clause: clause, run: func() error {
		var d operator.Drain
		if err := client.do(http.MethodPost, "/v1/drain", operator.Drain{Name: *name}, &d); err != nil || *client.jsonOutput {
			return err
		}
		fmt.Println(d.Name, "takes no new work")
		return nil
	}}
}

func timelineCommand(app *kingpin.Application) command {
	clause := app.Command("timeline", "Print the events of all processes, merged in causal order.")
	client := newControlClient(clause)
	request := clause.Flag("request", "Request id; prints the events of this request only.").String()
	limit := clause.Flag("limit", "Maximum number of events from each process.").Default("200").Int()
	return command{clause: clause, run: func() error {
		var t operator.Timeline
		path := fmt.Sprintf("/v1/timeline?limit=%d&request=%s", *limit, url.QueryEscape(*request))
		if err := client.do(http.MethodGet, path, nil, &t); err != nil || *client.jsonOutput {
			return err
		}
		for _, e := range t.Events {
			at := time.UnixMilli(e.Clock.GetWallMs()).UTC().Format("15:04:05.000")
			fmt.Printf("%s.%03d %-14s %-14s %s\n", at, e.Clock.GetLogical(), e.Process, e.Kind, e.Detail)
		}
		if len(t.Unresponsive) > 0 {
			fmt.Println("no answer from", strings.Join(t.Unresponsive, ", "))
		}
		return nil
	}}
}

package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"hawthornhub.example/hawthornhub/internal/api/admin"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
	"hawthornhub.example/hawthornhub/internal/state/document"
)

func checkCommand(app *kingpin.Application) command {
	clause := app.Command("check", "Check a settings file, a document, or both.")
	file := clause.Flag("settings", "Settings file.").String()
	role := clause.Flag("role", "Role of the settings.").Default("entry").Enum("entry", "agent", "control", "gateway", "registry")
	doc := clause.Flag("document", "Document file.").String()
	return command{clause: clause, run: func() error {
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

// checkSettings reads the settings of any role.
func checkSettings(file string, role settings.Role) error {
	if role != settings.RoleGateway && role != settings.RoleRegistry {
		_, err := load(file, role)
		return err
	}
	if _, err := settings.LoadSite(file, role); err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	return nil
}

func statusCommand(app *kingpin.Application) command {
	clause := app.Command("status", "Print the processes, the leader and the document in force on each.")
	r := remoteFlags(clause)
	return command{clause: clause, run: func() error {
		var s admin.Status
		if err := r.do(http.MethodGet, "/v1/status", nil, &s); err != nil || *r.json {
			return err
		}
		printStatus(s)
		return nil
	}}
}

func printStatus(s admin.Status) {
	fmt.Printf("leader %s, document %d\n", s.Leader, s.Document)
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
	clause := app.Command("drain", "Let an entry or agent take no new work.")
	r := remoteFlags(clause)
	name := clause.Arg("name", "Process to drain.").Required().String()
	return command{clause: clause, run: func() error {
		var d admin.DrainRequest
		if err := r.do(http.MethodPost, "/v1/drain", admin.DrainRequest{Name: *name}, &d); err != nil || *r.json {
			return err
		}
		fmt.Println(d.Name, "takes no new work")
		return nil
	}}
}

func timelineCommand(app *kingpin.Application) command {
	clause := app.Command("timeline", "Print the merged events of all processes.")
	r := remoteFlags(clause)
	request := clause.Flag("request", "Only the events of this request.").String()
	limit := clause.Flag("limit", "Most events of each process.").Default("200").Int()
	return command{clause: clause, run: func() error {
		var t admin.Timeline
		path := fmt.Sprintf("/v1/timeline?limit=%d&request=%s", *limit, url.QueryEscape(*request))
		if err := r.do(http.MethodGet, path, nil, &t); err != nil || *r.json {
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

package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"hawthornhub.example/hawthornhub/internal/api/admin"
)

func configCommands(app *kingpin.Application) []command {
	config := app.Command("config", "Read and edit the document.")
	return []command{configGet(config), configEdit(config), configHistory(config)}
}

func configGet(parent *kingpin.CmdClause) command {
	clause := parent.Command("get", "Print the document, or one section of it.")
	r := remoteFlags(clause)
	section := clause.Flag("section", "Section to print.").String()
	return command{clause: clause, run: func() error {
		var d admin.Document
		if err := r.do(http.MethodGet, "/v1/document?section="+url.QueryEscape(*section), nil, &d); err != nil || *r.json {
			return err
		}
		fmt.Printf("# document %d\n", d.Index)
		for _, s := range d.Sections {
			fmt.Printf("# section %s, version %d\n%s\n", s.Name, s.Version, s.Text)
		}
		return nil
	}}
}

func configEdit(parent *kingpin.CmdClause) command {
	clause := parent.Command("edit", "Replace a section, or the whole document, by a file.")
	r := remoteFlags(clause)
	section := clause.Flag("section", "Section to replace; none takes the file as the whole document.").String()
	file := clause.Flag("file", "File with the new text.").Required().ExistingFile()
	base := clause.Flag("base", "Version that the edit was made against, as config get prints it.").Required().Uint64()
	id := clause.Flag("id", "Edit id; give the same one again after a lost answer.").String()
	return command{clause: clause, run: func() error {
		text, err := os.ReadFile(*file)
		if err != nil {
			return fmt.Errorf("read edit: %w", err)
		}
		if *id == "" {
			*id = uuid.Must(uuid.NewV7()).String()
			fmt.Fprintln(os.Stderr, "edit id:", *id)
		}
		edit := admin.Edit{ID: *id, Base: *base, Section: *section, Text: string(text), Whole: *section == ""}
		var out admin.EditResult
		if err := r.do(http.MethodPost, "/v1/edits", edit, &out); err != nil || *r.json {
			return err
		}
		fmt.Printf("%s: %s; document %d\n", out.Result, out.Detail, out.Index)
		return nil
	}}
}

func configHistory(parent *kingpin.CmdClause) command {
	clause := parent.Command("history", "Print the edits that are remembered.")
	r := remoteFlags(clause)
	limit := clause.Flag("limit", "Most edits to print.").Default("20").Int()
	return command{clause: clause, run: func() error {
		var past []admin.HistoryEntry
		if err := r.do(http.MethodGet, fmt.Sprintf("/v1/history?limit=%d", *limit), nil, &past); err != nil || *r.json {
			return err
		}
		for _, p := range past {
			fmt.Printf("%s  %-10s %-10s %-20s %s\n", time.UnixMilli(p.AtMs).UTC().Format(time.RFC3339), p.Result, p.Team, p.Sections, p.ID)
		}
		return nil
	}}
}

package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"hawthornhub.example/hawthornhub/internal/api/operator"
)

func configCommands(app *kingpin.Application) []command {
	config := app.Command("config", "Read and edit the configuration document.")
	return []command{configGet(config), configEdit(config), configHistory(config)}
}

func configGet(parent *kingpin.CmdClause) command {
	clause := parent.Command("get", "Print the document, or one section of it.")
	client := newControlClient(clause)
	section := clause.Flag("section", "Section to print.").String()
	return command{clause: clause, run: func() error {
		var d operator.Document
		if err := client.do(http.MethodGet, "/v1/document?section="+url.QueryEscape(*section), nil, &d); err != nil || *client.jsonOutput {
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
	clause := parent.Command("edit", "Replace a section, or the whole document, with the contents of a file.")
	client := newControlClient(clause)
	section := clause.Flag("section", "Section to replace; without it, the file replaces the whole document.").String()
	file := clause.Flag("file", "File with the new text.").Required().ExistingFile()
	base := clause.Flag("base", "Version that the edit is based on, as printed by config get.").Required().Uint64()
	id := clause.Flag("id", "Edit id; use the same id to retry an edit whose answer was lost.").String()
	return command{clause: clause, run: func() error {
		text, err := os.ReadFile(*file)
		if err != nil {
			return fmt.Errorf("read new text: %w", err)
		}
		if *id == "" {
			*id = uuid.Must(uuid.NewV7()).String()
			fmt.Fprintln(os.Stderr, "edit id:", *id)
		}
		edit := operator.Edit{ID: *id, Base: *base, Section: *section, Text: string(text), Whole: *section == ""}
		var result operator.EditResult
		if err := client.do(http.MethodPost, "/v1/edits", edit, &result); err != nil || *client.jsonOutput {
			return err
		}
		fmt.Printf("%s: %s; document %d\n", result.Result, result.Detail, result.Index)
		return nil
	}}
}

func configHistory(parent *kingpin.CmdClause) command {
	clause := parent.Command("history", "Print the most recent edits.")
	client := newControlClient(clause)
	limit := clause.Flag("limit", "Maximum number of edits to print.").Default("20").Int()
	return command{clause: clause, run: func() error {
		var entries []operator.HistoryEntry
		if err := client.do(http.MethodGet, fmt.Sprintf("/v1/history?limit=%d", *limit), nil, &entries); err != nil || *client.jsonOutput {
			return err
		}
		for _, e := range entries {
			fmt.Printf("%s  %-10s %-10s %-20s %s\n", time.UnixMilli(e.AtMs).UTC().Format(time.RFC3339), e.Result, e.Team, e.Sections, e.ID)
		}
		return nil
	}}
}

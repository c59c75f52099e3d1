package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"hawthornhub.example/hawthornhub/internal/operator/check"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/platform"
)

// Exit codes of the check of a site document.
const (
	exitWarnings   = 1
	exitErrors     = 2
	exitNotChecked = 3
)

const (
	// inForceTimeout is the maximum time to read the document in force from a registry, which
	// itself waits some seconds for a quorum.
	inForceTimeout = 10 * time.Second
	// maxAnswerBytes is the length to which an error message quotes a registry's answer.
	maxAnswerBytes = 500
)

// findingsError reports that a check found something. The findings are in the report.
type findingsError struct {
	file             string
	errors, warnings int
}

// Error implements error.
func (e *findingsError) Error() string {
	if e.errors > 0 {
		return fmt.Sprintf("a registry would refuse %s (%d errors); correct it before it is sent", e.file, e.errors)
	}
	return fmt.Sprintf("%s has %d warnings; correct them or send it as it is", e.file, e.warnings)
}

// unreadableError reports that a document to check or to compare with cannot be read.
type unreadableError struct {
	source string
	err    error
}

// Error implements error.
func (e *unreadableError) Error() string {
	var answer *answerError
	if errors.As(e.err, &answer) {
		return fmt.Sprintf("cannot read a document from %s: %v", e.source, e.err)
	}
	return fmt.Sprintf("cannot read a document from %s: %v; give the name of a file, or to --against http://HOST:PORT of a registry that answers", e.source, e.err)
}

// Unwrap returns the cause.
func (e *unreadableError) Unwrap() error { return e.err }

// answerError reports an answer of a registry that is not a document.
type answerError struct {
	status int
	answer string
}

// Error implements error.
func (e *answerError) Error() string {
	return fmt.Sprintf("the registry answered with status %d: %s; ask another one, or check without --against if none has a document yet", e.status, e.answer)
}

// documentCheck is the check of a site document.
type documentCheck struct {
	file, against *string
	asJSON        *bool
}

// newDocumentCheck adds the arguments of the check to a command.
func newDocumentCheck(clause *kingpin.CmdClause) documentCheck {
	return documentCheck{
		file:    clause.Arg("file", "File with a site document.").String(),
		against: clause.Flag("against", "File with the site document in force, or http://HOST:PORT of a registry to read it from.").String(),
		asJSON:  clause.Flag("json", "Print the findings about a site document as JSON.").Bool(),
	}
}

// requested reports whether a site document is to be checked.
func (c documentCheck) requested() bool { return *c.file != "" || *c.against != "" || *c.asJSON }

// run checks the document and prints the report. alone is false if the command has other files
// to validate.
func (c documentCheck) run(alone bool) error {
	if *c.file == "" || !alone {
		return &exitError{code: exitNotChecked, err: errors.New("it is not clear what to check; give FILE for a site document, or only --settings and --document for other files")}
	}
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	return checkDocument(ctx, *c.file, *c.against, *c.asJSON, os.Stdout)
}

// checkDocument checks a site document, compares it with another one unless against is empty,
// and prints the report. The error has one of the exit codes of the check.
func checkDocument(ctx context.Context, file, against string, asJSON bool, out io.Writer) error {
	in := check.Input{Decode: platform.DecodeSubmitted}
	var err error
	if in.Text, err = readDocumentFile(file); err != nil {
		return &exitError{code: exitNotChecked, err: &unreadableError{source: file, err: err}}
	}
	if against != "" {
		if in.InForce, err = readInForce(ctx, against); err != nil {
			return &exitError{code: exitNotChecked, err: &unreadableError{source: against, err: err}}
		}
	}
	report := check.Run(in)
	write := report.WriteText
	if asJSON {
		write = report.WriteJSON
	}
	if err := write(out); err != nil {
		return &exitError{code: exitNotChecked, err: fmt.Errorf("write report: %w", err)}
	}
	found := &findingsError{file: file, errors: report.Count(check.Error), warnings: report.Count(check.Warning)}
	switch {
	case found.errors > 0:
		return &exitError{code: exitErrors, err: found}
	case found.warnings > 0:
		return &exitError{code: exitWarnings, err: found}
	default:
		return nil
	}
}

// readInForce reads the document in force from a file or from a registry.
func readInForce(ctx context.Context, source string) (*site.Document, error) {
	read := readDocumentFile
	if strings.Contains(source, "://") {
		read = func(base string) ([]byte, error) { return readFromRegistry(ctx, base) }
	}
	text, err := read(source)
	if err != nil {
		return nil, err
	}
	return platform.DecodeDocument(text)
}

func readDocumentFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return readLimited(f)
}

// readLimited reads a document. One that is larger than the maximum is cut one byte after it.
func readLimited(r io.Reader) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r, site.MaxTextBytes+1))
}

func readFromRegistry(ctx context.Context, base string) ([]byte, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, err
	}
	if u.Scheme != "http" || u.Host == "" || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" {
		return nil, errors.New("it is not the address of a registry; write http://HOST:PORT")
	}
	r, err := platform.NewDocumentRequest(ctx, base)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := readLimited(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &answerError{status: resp.StatusCode, answer: quoteAnswer(text)}
	}
	return text, nil
}

func quoteAnswer(text []byte) string {
	return fmt.Sprintf("%q", bytes.TrimSpace(text[:min(len(text), maxAnswerBytes)]))
}

// usageCode returns the exit code for arguments that cannot be parsed. Of the check of a site
// document, exitUsage would mean that a registry refuses it.
func usageCode(args []string) int {
	if len(args) == 0 || args[0] != "check" {
		return exitUsage
	}
	for _, a := range args {
		if strings.HasPrefix(a, "--settings") || strings.HasPrefix(a, "--document") || strings.HasPrefix(a, "--role") {
			return exitUsage
		}
	}
	return exitNotChecked
}

package main

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// checkFile returns the name of a document for tests.
func checkFile(name string) string {
	return filepath.Join("..", "..", "platform", "testdata", "check", name+".json")
}

func exitCode(err error) int {
	var e *exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &e):
		return e.code
	default:
		return exitFailed
	}
}

// TestCheckExitCodes guards against a script that sends a document which a registry refuses, or
// that takes a check which was not made for one that found nothing.
func TestCheckExitCodes(t *testing.T) {
	for _, tt := range []struct {
		file, against string
		code          int
		want          string
	}{
		{checkFile("sound"), "", 0, "version 8, errors: 0, warnings: 0\n"},
		{checkFile("sound"), checkFile("in_force"), 0, "changed: account south, keys: 1 keys -> 1 keys, 1 added, 1 removed\nchanged: route stock, max attempts: 3 -> 1\n"},
		{checkFile("in_force"), checkFile("sound"), exitWarnings, "version 7 is not higher than version 8"},
		{checkFile("warnings"), "", exitWarnings, "host-never-matches"},
		{checkFile("refused"), "", exitErrors, `unknown service "shops"; add it`},
		{checkFile("undecodable"), "", exitErrors, "error: document: read configuration"},
		{checkFile("none"), "", exitNotChecked, ""},
		{checkFile("sound"), checkFile("none"), exitNotChecked, ""},
		{checkFile("sound"), checkFile("undecodable"), exitNotChecked, ""},
		{checkFile("sound"), "http://", exitNotChecked, ""},
		{checkFile("sound"), "ftp://127.0.0.1:1", exitNotChecked, ""},
		{checkFile("sound"), "http://127.0.0.1:1/other", exitNotChecked, ""},
	} {
		var out bytes.Buffer
		err := checkDocument(context.Background(), tt.file, tt.against, false, &out)
		if got := exitCode(err); got != tt.code || !strings.Contains(out.String(), tt.want) {
			t.Errorf("%s against %q: got exit code %d (%v) and\n%s\nwant %d and %q", tt.file, tt.against, got, err, out.String(), tt.code, tt.want)
		}
		if strings.Contains(out.String(), "secret-") || err != nil && strings.Contains(err.Error(), "secret-") {
			t.Errorf("%s against %q: got a report with a key: %s, %v", tt.file, tt.against, out.String(), err)
		}
	}
}

// TestCheckReportsAllErrors guards against a check that stops at the first error.
func TestCheckReportsAllErrors(t *testing.T) {
	var out bytes.Buffer
	err := checkDocument(context.Background(), checkFile("refused"), "", true, &out)
	if got, want := exitCode(err), exitErrors; got != want || !strings.Contains(out.String(), `"errors": 3,`) {
		t.Errorf("got %d and %s, want %d and three errors", got, out.String(), want)
	}
}

// TestCheckAgainstRegistry guards against a comparison with an answer that is not the document in
// force, and against a check that waits for a registry that does not answer.
func TestCheckAgainstRegistry(t *testing.T) {
	inForce, err := os.ReadFile(checkFile("in_force"))
	if err != nil {
		t.Fatalf("read document: %v", err)
	}
	serve := func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.WriteHeader(http.StatusMethodNotAllowed)
		}
		w.Write(inForce)
	}
	control := httptest.NewServer(http.HandlerFunc(serve))
	defer control.Close()
	for name, tt := range map[string]struct {
		handler http.HandlerFunc
		code    int
		want    string
	}{
		"document": {serve, 0, "differences to version 7: 2"},
		"relay": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, control.URL+r.URL.Path, http.StatusTemporaryRedirect)
		}, 0, "differences to version 7: 2"},
		"no quorum": {func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "no leader", http.StatusServiceUnavailable)
		}, exitNotChecked, `status 503: "no leader"; ask another`},
		"not found":  {http.NotFound, exitNotChecked, "status 404"},
		"other text": {func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("<html>")) }, exitNotChecked, "read configuration"},
		"broken": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "99999")
			w.Write(inForce[:9])
		}, exitNotChecked, "unexpected EOF"},
		"no answer": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, exitNotChecked, "deadline exceeded"},
		"redirecting": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		}, exitNotChecked, "redirects"},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(tt.handler)
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var out bytes.Buffer
			err := checkDocument(ctx, checkFile("sound"), server.URL, false, &out)
			message := out.String()
			if err != nil {
				message += err.Error()
			}
			if got := exitCode(err); got != tt.code || !strings.Contains(message, tt.want) {
				t.Errorf("got %d and %s, want %d and %q", got, message, tt.code, tt.want)
			}
			var unreadable *unreadableError
			if tt.code == exitNotChecked && !errors.As(err, &unreadable) {
				t.Errorf("got %T, want an unreadableError", err)
			}
		})
	}
}

// TestUsageCode guards against a misspelled flag of the check that a script takes for a document
// which a registry refuses.
func TestUsageCode(t *testing.T) {
	for args, want := range map[string]int{
		"":                               exitUsage,
		"status --bogus":                 exitUsage,
		"check --settings f --role none": exitUsage,
		"check f --agianst g":            exitNotChecked,
		"check f g":                      exitNotChecked,
	} {
		if got := usageCode(strings.Fields(args)); got != want {
			t.Errorf("%s: got %d, want %d", args, got, want)
		}
	}
}

// TestCheckWithoutFile guards against a script with an empty variable that takes a check of
// nothing for one that found nothing.
func TestCheckWithoutFile(t *testing.T) {
	empty, file, no := "", "f", false
	for _, tt := range []struct {
		check documentCheck
		alone bool
	}{
		{documentCheck{file: &empty, against: &empty, asJSON: &no}, true},
		{documentCheck{file: &empty, against: &file, asJSON: &no}, true},
		{documentCheck{file: &file, against: &empty, asJSON: &no}, false},
	} {
		if got, want := exitCode(tt.check.run(tt.alone)), exitNotChecked; got != want {
			t.Errorf("got exit code %d, want %d", got, want)
		}
	}
}

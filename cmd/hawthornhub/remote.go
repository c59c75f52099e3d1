package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"hawthornhub.example/hawthornhub/internal/api/admin"
)

// remoteTimeout bounds an operator's command.
const remoteTimeout = 15 * time.Second

// remote is how the operators' commands reach a control instance.
type remote struct {
	addresses *[]string
	team      *string
	keyFile   *string
	json      *bool
}

// remoteFlags adds the flags that the operators' commands share.
func remoteFlags(clause *kingpin.CmdClause) remote {
	return remote{
		addresses: clause.Flag("control", "HTTP address of a control instance as IP:port; may be repeated.").Required().Strings(),
		team:      clause.Flag("team", "Team that the command is given by.").Required().String(),
		keyFile:   clause.Flag("key-file", "File with the team's key.").Required().ExistingFile(),
		json:      clause.Flag("json", "Print the answer as JSON.").Bool(),
	}
}

// do sends a request to the first control instance that answers, and decodes
// its answer into out.
func (r remote) do(method, path string, body, out any) error {
	key, err := os.ReadFile(*r.keyFile)
	if err != nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("read team key: %w", err)}
	}
	var last error
	for _, address := range *r.addresses {
		status, answer, err := r.send(method, "http://"+address+path, body, strings.TrimSpace(string(key)))
		if err != nil || status == http.StatusServiceUnavailable {
			last = fmt.Errorf("%s: %d %s: %w", address, status, bytes.TrimSpace(answer), err)
			continue
		}
		return r.decode(status, answer, out)
	}
	return &exitError{code: exitNoAnswer, err: fmt.Errorf("no control instance answered; give another --control: %w", last)}
}

func (r remote) send(method, url string, body any, key string) (int, []byte, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, nil, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(b))
	if err != nil {
		return 0, nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set(admin.HeaderTeam, *r.team)
	req.Header.Set(admin.HeaderTeamKey, key)
	client := &http.Client{Timeout: remoteTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("ask control: %w", err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("read answer: %w", err)
	}
	return resp.StatusCode, answer, nil
}

// decode prints the answer as JSON where asked to, and turns a refusal into an
// error.
func (r remote) decode(status int, answer []byte, out any) error {
	if *r.json {
		os.Stdout.Write(answer)
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(answer, out); err != nil {
			return fmt.Errorf("decode answer: %w; bring the programs to one version", err)
		}
		return nil
	}
	return &exitError{code: exitRefused, err: fmt.Errorf("refused (%d): %s", status, bytes.TrimSpace(answer))}
}

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"hawthornhub.example/hawthornhub/internal/api/operator"
)

// commandTimeout is the maximum duration of one request to a control instance, and
// of a document command as a whole.
const commandTimeout = 15 * time.Second

// controlClient sends operators' requests to the HTTP API of the control
// instances.
type controlClient struct {
	addresses  *[]string
	team       *string
	keyFile    *string
	jsonOutput *bool
}

// newControlClient adds the flags shared by the commands of this API to a command,
// and returns the client that they configure.
func newControlClient(clause *kingpin.CmdClause) controlClient {
	return controlClient{
		addresses:  clause.Flag("control", "HTTP address of a control instance as IP:port; may be repeated.").Required().Strings(),
		team:       clause.Flag("team", "Name of the team that gives the command.").Required().String(),
		keyFile:    clause.Flag("key-file", "File with the team's key.").Required().ExistingFile(),
		jsonOutput: clause.Flag("json", "Print the answer as JSON.").Bool(),
	}
}

// newOptionalControlClient is newControlClient for a command that can do without it, see
// check.
func newOptionalControlClient(clause *kingpin.CmdClause) controlClient {
	return controlClient{
		addresses:  clause.Flag("control", "HTTP address of a control instance as IP:port; may be repeated.").Strings(),
		team:       clause.Flag("team", "Name of the team that gives the command; needed with --control.").String(),
		keyFile:    clause.Flag("key-file", "File with the team's key; needed with --control.").ExistingFile(),
		jsonOutput: clause.Flag("json", "Print the answer as JSON.").Bool(),
	}
}

// check returns an error if flags of an optional client are missing.
func (c controlClient) check() error {
	if len(*c.addresses) == 0 || *c.team == "" || *c.keyFile == "" {
		return &exitError{code: exitUsage, err: errors.New("the fleet to command is not named; give --registry, or --control with --team and --key-file")}
	}
	return nil
}

// do tries the control instances in order until one answers with a status other
// than 503, and decodes the answer into out. With --json it also prints the answer.
func (c controlClient) do(method, path string, body, out any) error {
	key, err := os.ReadFile(*c.keyFile)
	if err != nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("read team key: %w", err)}
	}
	var lastErr error
	for _, address := range *c.addresses {
		status, answer, err := c.send(method, "http://"+address+path, body, strings.TrimSpace(string(key)))
		if err != nil || status == http.StatusServiceUnavailable {
			lastErr = fmt.Errorf("%s: %d %s: %w", address, status, bytes.TrimSpace(answer), err)
			continue
		}
		return c.decode(status, answer, out)
	}
	return &exitError{code: exitNoAnswer, err: fmt.Errorf("no control instance answered; give another --control: %w", lastErr)}
}

// send sends a request with a JSON body, or with none if body is nil.
func (c controlClient) send(method, url string, body any, key string) (int, []byte, error) {
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil, fmt.Errorf("encode request: %w", err)
		}
		content = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, url, content)
	if err != nil {
		return 0, nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set(operator.HeaderTeam, *c.team)
	req.Header.Set(operator.HeaderTeamKey, key)
	client := &http.Client{Timeout: commandTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("send request to control instance: %w", err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("read answer: %w", err)
	}
	return resp.StatusCode, answer, nil
}

// decode decodes an answer into out; with --json it also prints the answer. A
// status other than 200 is an error with the exit code exitRefused.
func (c controlClient) decode(status int, answer []byte, out any) error {
	if *c.jsonOutput {
		os.Stdout.Write(answer)
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(answer, out); err != nil {
			return fmt.Errorf("decode answer: %w; use the same program version as the control instance", err)
		}
		return nil
	}
	return &exitError{code: exitRefused, err: fmt.Errorf("request refused (status %d): %s", status, bytes.TrimSpace(answer))}
}

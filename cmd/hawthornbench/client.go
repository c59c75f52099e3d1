package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"hawthornhub.example/hawthornhub/internal/api/caller"
	"hawthornhub.example/hawthornhub/internal/api/operator"
)

// request is a caller's request to a pipeline.
type request struct {
	entry    string
	account  string
	pipeline string
	key      string
	deadline time.Duration
	body     caller.Body
}

// reply is the response that a caller received.
type reply struct {
	status           int
	response         caller.Response
	refusal          caller.Refusal
	chunks           []string
	timeToFirstChunk time.Duration
	total            time.Duration
}

// ok reports whether the request succeeded.
func (r reply) ok() bool { return r.status == http.StatusOK && r.refusal.Kind == "" }

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 8192}}

// call sends a request and reads the whole response.
func call(ctx context.Context, r request) (reply, error) {
	b, err := json.Marshal(r.body)
	if err != nil {
		return reply{}, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.entry+"/v1/pipelines/"+r.pipeline, bytes.NewReader(b))
	if err != nil {
		return reply{}, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set(caller.HeaderAccount, r.account)
	req.Header.Set(caller.HeaderAccountKey, clientKey)
	if r.key != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, r.key)
	}
	if r.deadline > 0 {
		req.Header.Set(caller.HeaderDeadline, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	}
	start := time.Now()
	resp, err := httpClient.Do(req)
	if err != nil {
		return reply{}, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	out := reply{status: resp.StatusCode}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = readEvents(resp.Body, start, &out)
	} else {
		err = readJSON(resp.Body, &out)
	}
	out.total = time.Since(start)
	return out, err
}

func readJSON(r io.Reader, out *reply) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if out.status == http.StatusOK {
		return json.Unmarshal(b, &out.response)
	}
	return json.Unmarshal(b, &out.refusal)
}

// readEvents reads a stream of server-sent events and checks that the chunks are
// numbered without gaps and that the stream ends with an end event.
func readEvents(r io.Reader, start time.Time, out *reply) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 1<<16), 1<<24)
	id, event := "", ""
	for sc.Scan() {
		line := sc.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[4:]
		case strings.HasPrefix(line, "event: "):
			event = line[7:]
		case strings.HasPrefix(line, "data: "):
			end, err := handleEvent(event, id, []byte(line[6:]), start, out)
			if err != nil || end {
				return err
			}
		}
	}
	return fmt.Errorf("stream ended after %d chunks without an end event: %v", len(out.chunks), sc.Err())
}

// handleEvent processes one server-sent event and reports whether it is the last.
func handleEvent(event, id string, data []byte, start time.Time, out *reply) (bool, error) {
	switch event {
	case "chunk":
		if id != strconv.Itoa(len(out.chunks)) {
			return false, fmt.Errorf("chunk %s received, want chunk %d", id, len(out.chunks))
		}
		if out.timeToFirstChunk == 0 {
			out.timeToFirstChunk = time.Since(start)
		}
		var c caller.Chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return false, err
		}
		out.chunks = append(out.chunks, c.Data)
		return false, nil
	case "error":
		return true, json.Unmarshal(data, &out.refusal)
	default:
		if err := json.Unmarshal(data, &out.response); err != nil {
			return false, err
		}
		if int(out.response.Chunks) != len(out.chunks) {
			return false, fmt.Errorf("%d chunks received, want %d", len(out.chunks), out.response.Chunks)
		}
		return true, nil
	}
}

// callOperatorAPI sends a request of the owner team to the operator API of a
// control instance and decodes the response into out.
func callOperatorAPI(control, method, path string, body, out any) (int, error) {
	return callOperatorAPIAs(control, "owner", method, path, body, out)
}

// callOperatorAPIAs sends a request of a team to the operator API of a control
// instance.
func callOperatorAPIAs(control, team, method, path string, body, out any) (int, error) {
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("encode request: %w", err)
		}
		content = bytes.NewReader(b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+control+path, content)
	if err != nil {
		return 0, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set(operator.HeaderTeam, team)
	req.Header.Set(operator.HeaderTeamKey, clientKey)
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}

// executions returns how often the stand-ins executed the at-most-once call of
// each idempotency key, by their record files.
func (f *fleet) executions() (map[string]int, error) {
	out := make(map[string]int)
	for _, u := range f.spec.upstreams {
		b, err := os.ReadFile(f.recordFile(u.name))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("read record file: %w", err)
		}
		for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
			if fields := strings.Fields(line); len(fields) == 3 {
				out[fields[1]]++
			}
		}
	}
	return out, nil
}

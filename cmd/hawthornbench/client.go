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

	"hawthornhub.example/hawthornhub/internal/api/admin"
	"hawthornhub.example/hawthornhub/internal/api/caller"
)

// ask describes a caller's request.
type ask struct {
	entry    string
	account  string
	pipeline string
	key      string
	deadline time.Duration
	body     caller.Body
}

// reply is what a caller was told.
type reply struct {
	status  int
	answer  caller.Response
	refusal caller.Refusal
	chunks  []string
	first   time.Duration
	total   time.Duration
}

// done reports whether the caller got its whole answer.
func (r reply) done() bool { return r.status == http.StatusOK && r.refusal.Kind == "" }

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 8192}}

// call sends a request and reads its whole answer.
func call(ctx context.Context, a ask) (reply, error) {
	b, err := json.Marshal(a.body)
	if err != nil {
		return reply{}, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.entry+"/v1/pipelines/"+a.pipeline, bytes.NewReader(b))
	if err != nil {
		return reply{}, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set(caller.HeaderAccount, a.account)
	req.Header.Set(caller.HeaderAccountKey, keyText)
	if a.key != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, a.key)
	}
	if a.deadline > 0 {
		req.Header.Set(caller.HeaderDeadline, strconv.FormatInt(a.deadline.Milliseconds(), 10))
	}
	began := time.Now()
	resp, err := httpClient.Do(req)
	if err != nil {
		return reply{}, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	out := reply{status: resp.StatusCode}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = readEvents(resp.Body, began, &out)
	} else {
		err = readJSON(resp.Body, &out)
	}
	out.total = time.Since(began)
	return out, err
}

func readJSON(r io.Reader, out *reply) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if out.status == http.StatusOK {
		return json.Unmarshal(b, &out.answer)
	}
	return json.Unmarshal(b, &out.refusal)
}

// readEvents reads a stream and checks that its chunks are numbered without
// gaps and that it ends explicitly.
func readEvents(r io.Reader, began time.Time, out *reply) error {
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
			end, err := takeEvent(event, id, []byte(line[6:]), began, out)
			if err != nil || end {
				return err
			}
		}
	}
	return fmt.Errorf("stream ended after %d chunks without an end event: %v", len(out.chunks), sc.Err())
}

func takeEvent(event, id string, data []byte, began time.Time, out *reply) (bool, error) {
	switch event {
	case "chunk":
		if id != strconv.Itoa(len(out.chunks)) {
			return false, fmt.Errorf("chunk %s in place of %d", id, len(out.chunks))
		}
		if out.first == 0 {
			out.first = time.Since(began)
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
		if err := json.Unmarshal(data, &out.answer); err != nil {
			return false, err
		}
		if int(out.answer.Chunks) != len(out.chunks) {
			return false, fmt.Errorf("%d chunks of %d", len(out.chunks), out.answer.Chunks)
		}
		return true, nil
	}
}

// operate sends a request of the owner's team to a control instance.
func operate(control, method, path string, body, out any) (int, error) {
	return operateAs(control, "owner", method, path, body, out)
}

// operateAs sends a team's request to a control instance.
func operateAs(control, team, method, path string, body, out any) (int, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, fmt.Errorf("encode request: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+control+path, bytes.NewReader(b))
	if err != nil {
		return 0, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set(admin.HeaderTeam, team)
	req.Header.Set(admin.HeaderTeamKey, keyText)
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("ask control: %w", err)
	}
	defer resp.Body.Close()
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}

// paid counts the paid actions under each key in a fleet's record files.
func (f *fleet) paid() (map[string]int, error) {
	out := make(map[string]int)
	for _, u := range f.spec.upstreams {
		b, err := os.ReadFile(f.record(u.name))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("read record: %w", err)
		}
		for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
			if fields := strings.Fields(line); len(fields) == 3 {
				out[fields[1]]++
			}
		}
	}
	return out, nil
}

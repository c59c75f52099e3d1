package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/strictjson"
)

const (
	// maxIdleConnections is the maximum number of idle connections to the upstream.
	maxIdleConnections = 256
	// maxHeaderBytes limits the headers of an answer, maxLineBytes one line of its
	// body, so that an upstream that sends bytes without end does not fill the memory.
	maxHeaderBytes = 128 << 10
	maxLineBytes   = 16 << 20
	// drainBytes and drainTimeout limit what is read of an answer that is done with,
	// to reuse its connection.
	drainBytes   = 4 << 10
	drainTimeout = 50 * time.Millisecond
)

// Client sends requests to one upstream. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a Client for the announced address.
func NewClient(address string) *Client {
	return &Client{
		baseURL: "http://" + address,
		http: &http.Client{Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConns:           maxIdleConnections,
			MaxIdleConnsPerHost:    maxIdleConnections,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		}},
	}
}

// RunError reports a stage that did not finish. Started is false only if it is
// certain that the upstream did not start the stage.
type RunError struct {
	Started bool
	Cause   error
}

// Error returns the reason together with a remedy.
func (e *RunError) Error() string {
	if e.Started {
		return fmt.Sprintf("upstream lost after the stage was sent: %v; its outcome is unknown", e.Cause)
	}
	return fmt.Sprintf("upstream did not take the stage: %v; use another", e.Cause)
}

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Cause }

func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	// Without GetBody, net/http does not send the body again once it has begun to
	// read it, neither on another connection nor after a redirect.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return c.http.Do(req)
}

// Run runs a stage and calls onChunk with each chunk, in order and without gaps.
// It returns the end line. The error is a *RunError.
func (c *Client) Run(ctx context.Context, r Request, onChunk func(Line) error) (Line, error) {
	resp, err := c.post(ctx, "/v1/run", r)
	if err != nil {
		return Line{}, &RunError{Started: !isDialError(err), Cause: err}
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return Line{}, &RunError{Started: resp.StatusCode != http.StatusServiceUnavailable, Cause: fmt.Errorf("status %s", resp.Status)}
	}
	body := &io.LimitedReader{R: resp.Body}
	d := json.NewDecoder(body)
	for next := r.FirstChunk; ; {
		body.N = maxLineBytes
		line, err := nextLine(d)
		if err != nil {
			return Line{}, &RunError{Started: true, Cause: err}
		}
		if line.ID != r.ID {
			return Line{}, &RunError{Started: true, Cause: fmt.Errorf("line of request %q", line.ID)}
		}
		if line.Error != "" {
			return Line{}, &RunError{Started: line.Started, Cause: errors.New(line.Error)}
		}
		if line.End {
			if line.Chunks != next {
				return Line{}, &RunError{Started: true, Cause: fmt.Errorf("%d of %d chunks", next, line.Chunks)}
			}
			return line, nil
		}
		if line.Seq < next {
			continue
		}
		if line.Seq != next {
			return Line{}, &RunError{Started: true, Cause: fmt.Errorf("chunk %d in place of %d", line.Seq, next)}
		}
		next++
		if err := onChunk(line); err != nil {
			return Line{}, &RunError{Started: true, Cause: err}
		}
	}
}

// nextLine reads the next line of an answer.
func nextLine(d *json.Decoder) (Line, error) {
	var text json.RawMessage
	if err := d.Decode(&text); err != nil {
		return Line{}, err
	}
	var line Line
	if err := strictjson.Decode(text, &line); err != nil {
		return Line{}, err
	}
	return line, nil
}

// isDialError reports whether no connection was established, so that nothing was
// sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// closeBody reads what is left of a short body, so that the connection can be
// reused, and closes it. It does not wait for an upstream that does not end its answer.
func closeBody(resp *http.Response) {
	defer time.AfterFunc(drainTimeout, func() { resp.Body.Close() }).Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, drainBytes)
	resp.Body.Close()
}

// Cancel cancels the stage of a Request by its ID.
func (c *Client) Cancel(ctx context.Context, id string) error {
	resp, err := c.post(ctx, "/v1/cancel", CancelRequest{ID: id})
	if err != nil {
		return fmt.Errorf("cancel stage: %w", err)
	}
	closeBody(resp)
	return nil
}

// Order sends the upstream an order. If the upstream rejects it, the error is an
// *OrderError.
func (c *Client) Order(ctx context.Context, o Order) error {
	resp, err := c.post(ctx, "/v1/order", o)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return &OrderError{Number: o.Number, Status: resp.Status}
	}
	return nil
}

// OrderError reports an order that the upstream rejected.
type OrderError struct {
	Number uint64
	Status string
}

// Error returns the reason together with a remedy.
func (e *OrderError) Error() string {
	return fmt.Sprintf("upstream refused order %d (%s); ask the leader for a new order", e.Number, e.Status)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

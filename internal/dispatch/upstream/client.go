package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/wire/strictjson"
)

const (
	// maxLineBytes limits one line of the body of an answer, so that an upstream that sends
	// bytes without end does not fill the memory.
	maxLineBytes = 16 << 20
	// drainBytes and drainTimeout limit what is read of an answer that is done with,
	// to reuse its connection.
	drainBytes   = 4 << 10
	drainTimeout = 50 * time.Millisecond
)

// Client sends requests to one upstream. It is safe for concurrent use.
type Client struct {
	target transport.Target
	pool   *transport.Pool
}

// NewClient returns a Client for the announced address.
func NewClient(address string) *Client {
	return &Client{
		target: transport.Target{ID: address, Address: address},
		pool:   transport.NewPool(transport.Config{Classify: classify, Log: zap.NewNop()}),
	}
}

// classify reads the status of an answer. Only 503 says that nothing was run.
func classify(status int, _ http.Header) transport.Reply {
	return transport.Reply{NotExecuted: status == http.StatusServiceUnavailable}
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

// StatusError reports an answer with another status than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s", e.Status, http.StatusText(e.Status))
}

// post sends a request with a JSON body and returns its answer, which must be closed, if its
// status is 200. The error is a *RunError. kind has what tells the answer from others.
func (c *Client) post(ctx context.Context, path string, content any, kind transport.Request) (*transport.Answered, error) {
	body, err := json.Marshal(content)
	if err != nil {
		return nil, &RunError{Cause: fmt.Errorf("encode request: %w", err)}
	}
	kind.Method, kind.URI, kind.Host = http.MethodPost, path, c.target.Address
	kind.Header, kind.Body = http.Header{"Content-Type": {"application/json"}}, body
	switch o := c.pool.Send(ctx, c.target, kind).(type) {
	case transport.NotSent:
		return nil, &RunError{Cause: o.Err}
	case transport.Rejected:
		return nil, &RunError{Cause: &StatusError{o.Status}}
	case transport.Unknown:
		return nil, &RunError{Started: true, Cause: o.Err}
	case *transport.Answered:
		if o.Status != http.StatusOK {
			o.Close()
			return nil, &RunError{Started: true, Cause: &StatusError{o.Status}}
		}
		return o, nil
	default:
		panic(fmt.Sprintf("upstream: unhandled outcome %T", o))
	}
}

// Run runs a stage and calls onChunk with each chunk, in order and without gaps.
// It returns the end line. The error is a *RunError.
func (c *Client) Run(ctx context.Context, r Request, onChunk func(Line) error) (Line, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, err := c.post(ctx, "/v1/run", r, transport.Request{Marked: true})
	if err != nil {
		return Line{}, err
	}
	defer answer.Close()
	line, err := readLines(answer, r, onChunk)
	if err != nil {
		return Line{}, err
	}
	defer time.AfterFunc(drainTimeout, cancel).Stop()
	drain(answer)
	return line, nil
}

// readLines reads the lines of the answer to a stage up to the end line, which it returns.
func readLines(answer *transport.Answered, r Request, onChunk func(Line) error) (Line, error) {
	body := &io.LimitedReader{R: answer.Body}
	d := json.NewDecoder(body)
	next := r.FirstChunk
	for first := true; ; first = false {
		body.N = maxLineBytes
		line, err := nextLine(d)
		if err != nil {
			return Line{}, &RunError{Started: true, Cause: err}
		}
		if line.ID != r.ID {
			return Line{}, &RunError{Started: true, Cause: fmt.Errorf("line of request %q", line.ID)}
		}
		if first && !answer.Identify([]string{r.ID}) {
			return Line{}, &RunError{Started: true, Cause: errors.New("second answer to a request on its connection")}
		}
		if line.Error != "" {
			// A stage that has sent a chunk has started, whatever the line says.
			return Line{}, &RunError{Started: line.Started || !first, Cause: errors.New(line.Error)}
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

// drain reads what is left of a short body, so that the connection can be reused.
func drain(answer *transport.Answered) {
	_, _ = io.CopyN(io.Discard, answer.Body, drainBytes)
}

// Cancel cancels the stage of a Request by its ID.
func (c *Client) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, err := c.post(ctx, "/v1/cancel", CancelRequest{ID: id}, transport.Request{Cleanup: true})
	if err != nil {
		return fmt.Errorf("cancel stage: %w", err)
	}
	defer answer.Close()
	defer time.AfterFunc(drainTimeout, cancel).Stop()
	drain(answer)
	return nil
}

// Order sends the upstream an order. If the upstream rejects it, the error is an
// *OrderError.
func (c *Client) Order(ctx context.Context, o Order) error {
	answer, err := c.post(ctx, "/v1/order", o, transport.Request{})
	var status *StatusError
	if errors.As(err, &status) {
		return &OrderError{Number: o.Number, Status: status.Status}
	}
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	answer.Close()
	return nil
}

// OrderError reports an order that the upstream rejected.
type OrderError struct {
	Number uint64
	Status int
}

// Error returns the reason together with a remedy.
func (e *OrderError) Error() string {
	return fmt.Sprintf("upstream refused order %d (status %d); ask the leader for a new order", e.Number, e.Status)
}

// Close closes idle connections. Requests that follow are not sent.
func (c *Client) Close() { _ = c.pool.Close() }

package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	At      time.Time `json:"at"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Process string    `json:"process"`
	Request string    `json:"request,omitempty"`
	// Fields are the line's other fields.
	Fields map[string]any `json:"fields,omitempty"`
}

// Report is the reconstructed history of one request.
type Report struct {
	Request string `json:"request"`
	// Lines are the lines with the request's ID, sorted by time.
	Lines []Line `json:"lines"`
	// Context holds the last lines before the request's end about the
	// upstreams, services and processes that Lines name.
	Context []Line `json:"beliefs"`
	// Cause says in one sentence why the request ended as it did.
	Cause string `json:"cause"`
}

// notCalled and calledAgain begin and end a time in which a process does not call an
// upstream because of what that said in an answer.
const (
	notCalled   = "upstream is not called"
	calledAgain = "upstream may be called again"
)

// contextMessages maps each message that reports what a process knew at the time
// to the field that names the subject.
var contextMessages = map[string]string{
	"upstream changed":                      "upstream",
	"upstream announced itself":             "upstream",
	"call with pieces failed":               "upstream",
	notCalled:                               "upstream",
	calledAgain:                             "upstream",
	"breaker of a prompt segment":           "segment",
	"breaker of a prompt segment changed":   "segment",
	"site document in force":                "process",
	"control instance lost":                 "process",
	"control instance found":                "process",
	"watcher silent, dropped":               "watcher",
	"owner of pieces lost, asking the next": "process",
	"session silent, dropped":               "process",
	"process starts":                        "process",
	"process stops":                         "process",
	"settings reloaded":                     "process",
	"log lines dropped":                     "process",
}

// Reader collects the log lines that concern one request.
type Reader struct {
	request string
	// lines have the request's ID; context holds all lines with a message of
	// contextMessages.
	lines   []Line
	context []Line
}

// NewReader returns a Reader for the request with the given ID.
func NewReader(request string) *Reader { return &Reader{request: request} }

// Read reads the lines of a log. It skips lines that hawthornhub did not write.
func (r *Reader) Read(log io.Reader) error {
	s := bufio.NewScanner(log)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		if line, ok := parse(s.Bytes()); ok {
			r.add(line)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read log: %w; remove lines longer than %d bytes", err, maxLineBytes)
	}
	return nil
}

// parse decodes the JSON object of a line, which may have a prefix in front.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Level = removeString(fields, "level")
	l.Message = removeString(fields, "msg")
	l.Process = removeString(fields, "process")
	l.Request = removeString(fields, "request")
	var err error
	l.At, err = time.Parse(time.RFC3339Nano, removeString(fields, "ts"))
	return l, err == nil && l.Message != ""
}

// removeString removes a field and returns its value, or "" if it is not a string.
func removeString(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

func (r *Reader) add(l Line) {
	if l.Request == r.request {
		r.lines = append(r.lines, l)
		return
	}
	if _, ok := contextMessages[l.Message]; ok {
		r.context = append(r.context, l)
	}
}

func byTime(a, b Line) int { return a.At.Compare(b.At) }

// Report returns the history of the request from all lines read so far.
func (r *Reader) Report() Report {
	slices.SortStableFunc(r.lines, byTime)
	slices.SortStableFunc(r.context, byTime)
	report := Report{Request: r.request, Lines: r.lines}
	if len(r.lines) == 0 {
		report.Cause = "no line bears the request's id: it was not read by a process whose log is here"
		return report
	}
	report.Context = r.relevantContext()
	report.Cause = describeCause(r.lines, report.Context)
	return report
}

// relevantContext returns the last context line of each kind and process, before
// the request's end, about each subject that the request's lines name.
func (r *Reader) relevantContext() []Line {
	named, processes := make(map[string]bool), make(map[string]bool)
	for _, l := range r.lines {
		named[l.Process], processes[l.Process] = true, true
		for _, f := range []string{"upstream", "service", "owner", "segment"} {
			named[l.text(f)] = true
		}
		// The owner of a part of a service names it with its zone.
		service, _, _ := strings.Cut(l.text("service"), "@")
		named[service] = true
	}
	delete(named, "")
	end := r.lines[len(r.lines)-1].At
	last := make(map[string]Line)
	for _, l := range r.context {
		subject := l.subject()
		// Every entry logs each upstream; only entries that handled the request
		// are relevant.
		backoff := l.Message == notCalled || l.Message == calledAgain
		if (l.Message == "upstream changed" || backoff) && !processes[l.Process] {
			continue
		}
		if !l.At.After(end) && (named[subject] || backoff && named[l.text("service")]) {
			last[subject+" "+l.Message+" "+l.Process] = l
		}
	}
	var out []Line
	for _, l := range last {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Line) int {
		if c := byTime(a, b); c != 0 {
			return c
		}
		return strings.Compare(a.String(), b.String())
	})
	return out
}

// subject returns the name of what a context line is about.
func (l Line) subject() string {
	if field := contextMessages[l.Message]; field != "process" {
		return l.text(field)
	}
	return l.Process
}

func (l Line) text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

func (l Line) number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// describeCause says why a request ended as it did.
func describeCause(lines, context []Line) string {
	last := lines[len(lines)-1]
	switch last.Message {
	case "request answered":
		return describeAnswered(lines, last)
	case "stream cut", "answer cut":
		if strings.HasPrefix(last.text("error"), "the caller") {
			return fmt.Sprintf("%s, after %.0f ms and %.0f bytes from upstream %s", last.text("error"), last.number("age"), last.number("passed"), last.text("upstream"))
		}
		return fmt.Sprintf("the answer of upstream %s broke off after %.0f bytes (%s)%s", last.text("upstream"), last.number("passed"), last.text("error"), upstreamState(context, last))
	case "request refused":
		return describeRefused(lines, last, context)
	default:
		return "the request has no end in these logs; its last line is: " + last.Message
	}
}

func describeAnswered(lines []Line, last Line) string {
	text := fmt.Sprintf("answered with status %.0f by upstream %s after %.0f ms", last.number("status"), last.text("upstream"), last.number("age"))
	slowest, longestMs := "", 0.0
	for _, l := range lines {
		if l.Message == "stage made" && l.number("took") > longestMs {
			longestMs = l.number("took")
			slowest = fmt.Sprintf("; the longest stage was %.0f (%s): %.0f ms, of them %.0f in the queue", l.number("stage"), l.text("service"), longestMs, l.number("queued"))
		}
		if l.Message == "request held back" {
			text += fmt.Sprintf("; held back behind a queue of %.0f ms", l.number("wait"))
		}
	}
	return text + slowest
}

func describeRefused(lines []Line, last Line, context []Line) string {
	text := fmt.Sprintf("refused with status %.0f after %.0f ms: %s", last.number("status"), last.number("age"), last.text("reason"))
	if e := last.text("error"); e != "" {
		text += " (" + e + ")"
	}
	for _, l := range slices.Backward(lines[:len(lines)-1]) {
		if l.Message == "stage failed" || l.Message == "pieces refused" || l.Message == "request held back" {
			text += fmt.Sprintf("; before: %s, %s", l.Message, l.detail())
			break
		}
	}
	return text + breakerState(context, last) + backoffState(context, last) + upstreamState(context, last)
}

// maxNamedUpstreams is how many upstreams a cause names.
const maxNamedUpstreams = 4

// backoffState returns what the upstreams that a refused request could have gone to had said
// of themselves.
func backoffState(context []Line, last Line) string {
	ended, text, named := make(map[string]bool), "", 0
	for _, l := range slices.Backward(context) {
		if named == maxNamedUpstreams {
			return text + "; and others"
		}
		key := l.text("upstream") + " " + l.text("cause") + " " + l.Process
		switch {
		case l.Message == calledAgain:
			ended[key] = true
		case l.Message != notCalled || ended[key]:
		case l.text("cause") == "leaving":
			named++
			text += fmt.Sprintf("; upstream %s had said %s before that it leaves", l.text("upstream"), last.At.Sub(l.At).Round(time.Millisecond))
		default:
			named++
			text += fmt.Sprintf("; upstream %s had asked %s before for no requests for %.0f ms", l.text("upstream"), last.At.Sub(l.At).Round(time.Millisecond), l.number("left"))
		}
	}
	return text
}

// breakerState returns what the breaker of the prompt segment that a line names was based
// on.
func breakerState(context []Line, last Line) string {
	id := last.text("segment")
	for _, l := range slices.Backward(context) {
		if id != "" && l.text("segment") == id && l.text("evidence") != "" {
			return fmt.Sprintf("; its breaker was %s for %s by %s: %s", l.text("state"), last.At.Sub(l.At).Round(time.Millisecond), l.Process, l.text("evidence"))
		}
	}
	return ""
}

// detail returns the fields of a line that explain why it was logged.
func (l Line) detail() string {
	var parts []string
	for _, f := range []string{"service", "error", "waiting", "upstreams", "closed", "wait", "work", "stage"} {
		if v, ok := l.Fields[f]; ok {
			parts = append(parts, fmt.Sprintf("%s %v", f, v))
		}
	}
	return strings.Join(parts, ", ")
}

// upstreamState returns the last known state of the upstream that a line names.
func upstreamState(context []Line, last Line) string {
	id := last.text("upstream")
	for _, l := range slices.Backward(context) {
		if id != "" && l.text("upstream") == id && l.text("state") != "" {
			return fmt.Sprintf("; the upstream was %s for %s by %s", l.text("state"), last.At.Sub(l.At).Round(time.Millisecond), l.Process)
		}
	}
	return ""
}

// String returns the line as text with its fields sorted by name.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-28s %s", l.At.Format("15:04:05.000"), l.Process, l.Message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

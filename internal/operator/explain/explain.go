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

// Story is what the lines tell of one request.
type Story struct {
	Request string `json:"request"`
	// Lines are those of the request, in the order of their times.
	Lines []Line `json:"lines"`
	// Beliefs are the last lines before its end on what the story names.
	Beliefs []Line `json:"beliefs"`
	// Cause is why the request ended as it did, in one sentence.
	Cause string `json:"cause"`
}

// beliefs are the messages that say what a process believes, with the field
// that says of what.
var beliefs = map[string]string{
	"upstream changed":                      "upstream",
	"upstream announced itself":             "upstream",
	"call with pieces failed":               "upstream",
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

// Reader collects the lines on one request.
type Reader struct {
	request string
	own     []Line
	beliefs []Line
}

// NewReader returns a Reader without lines.
func NewReader(request string) *Reader { return &Reader{request: request} }

// Read takes the lines of a log. Lines that are none of hawthornhub's are
// skipped.
func (r *Reader) Read(log io.Reader) error {
	s := bufio.NewScanner(log)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		if line, ok := parse(s.Bytes()); ok {
			r.take(line)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read log: %w; cut lines over %d bytes", err, maxLineBytes)
	}
	return nil
}

func parse(text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[at:], &fields); err != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Level = take(fields, "level")
	l.Message = take(fields, "msg")
	l.Process = take(fields, "process")
	l.Request = take(fields, "request")
	var err error
	l.At, err = time.Parse(time.RFC3339Nano, take(fields, "ts"))
	return l, err == nil && l.Message != ""
}

// take removes a text field and returns it.
func take(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

func (r *Reader) take(l Line) {
	if l.Request == r.request {
		r.own = append(r.own, l)
		return
	}
	if _, ok := beliefs[l.Message]; ok {
		r.beliefs = append(r.beliefs, l)
	}
}

func byTime(a, b Line) int { return a.At.Compare(b.At) }

// Story returns what the lines tell.
func (r *Reader) Story() Story {
	slices.SortStableFunc(r.own, byTime)
	slices.SortStableFunc(r.beliefs, byTime)
	s := Story{Request: r.request, Lines: r.own}
	if len(r.own) == 0 {
		s.Cause = "no line bears the request's id: it was not read by a process whose log is here"
		return s
	}
	s.Beliefs = r.relevant()
	s.Cause = cause(r.own, s.Beliefs)
	return s
}

// relevant returns the last belief before the request's end on each thing that
// its lines name.
func (r *Reader) relevant() []Line {
	named, own := make(map[string]bool), make(map[string]bool)
	for _, l := range r.own {
		named[l.Process], own[l.Process] = true, true
		for _, f := range []string{"upstream", "service", "owner"} {
			named[l.text(f)] = true
		}
	}
	delete(named, "")
	end := r.own[len(r.own)-1].At
	last := make(map[string]Line)
	for _, l := range r.beliefs {
		about := l.subject()
		// Every entry logs each upstream; those that saw the request count.
		if l.Message == "upstream changed" && !own[l.Process] {
			continue
		}
		if !l.At.After(end) && named[about] {
			last[about+" "+l.Message+" "+l.Process] = l
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

// subject returns what a belief is about.
func (l Line) subject() string {
	if field := beliefs[l.Message]; field != "process" {
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

// cause says why a request ended as its lines tell.
func cause(lines, known []Line) string {
	last := lines[len(lines)-1]
	switch last.Message {
	case "request answered":
		return answered(lines, last)
	case "stream cut", "answer cut":
		if strings.HasPrefix(last.text("error"), "the caller") {
			return fmt.Sprintf("%s, after %.0f ms and %.0f bytes from upstream %s", last.text("error"), last.number("age"), last.number("passed"), last.text("upstream"))
		}
		return fmt.Sprintf("the answer of upstream %s broke off after %.0f bytes (%s)%s", last.text("upstream"), last.number("passed"), last.text("error"), upstreamWord(known, last))
	case "request refused":
		return refused(lines, last, known)
	default:
		return "the request has no end in these logs; its last line is: " + last.Message
	}
}

func answered(lines []Line, last Line) string {
	text := fmt.Sprintf("answered with status %.0f by upstream %s after %.0f ms", last.number("status"), last.text("upstream"), last.number("age"))
	slow, most := "", 0.0
	for _, l := range lines {
		if l.Message == "stage made" && l.number("took") > most {
			most = l.number("took")
			slow = fmt.Sprintf("; the longest stage was %.0f (%s): %.0f ms, of them %.0f in the queue", l.number("stage"), l.text("service"), most, l.number("queued"))
		}
		if l.Message == "request held back" {
			text += fmt.Sprintf("; held back behind a queue of %.0f ms", l.number("wait"))
		}
	}
	return text + slow
}

func refused(lines []Line, last Line, known []Line) string {
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
	return text + upstreamWord(known, last)
}

// detail returns what decided a line.
func (l Line) detail() string {
	var parts []string
	for _, f := range []string{"service", "error", "waiting", "upstreams", "wait", "work", "stage"} {
		if v, ok := l.Fields[f]; ok {
			parts = append(parts, fmt.Sprintf("%s %v", f, v))
		}
	}
	return strings.Join(parts, ", ")
}

// upstreamWord returns what was last known of the upstream of a line.
func upstreamWord(known []Line, last Line) string {
	id := last.text("upstream")
	for _, l := range slices.Backward(known) {
		if id != "" && l.text("upstream") == id && l.text("state") != "" {
			return fmt.Sprintf("; the upstream was %s for %s by %s", l.text("state"), last.At.Sub(l.At).Round(time.Millisecond), l.Process)
		}
	}
	return ""
}

// String returns the line as an operator reads it.
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

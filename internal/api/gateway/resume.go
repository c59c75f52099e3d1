package gateway

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
)

// errOtherStream reports that an answer in the place of the rest of a stream does not follow what
// has been forwarded of it.
var errOtherStream = errors.New("the answer does not continue the stream")

// mediaType returns the media type of an answer, without parameters.
func mediaType(a *transport.Answered) string {
	text, _, _ := strings.Cut(a.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(text))
}

// joins reports whether events may follow those that have been forwarded: the first one must have
// a later ID. Comments may come before it.
func (s *stream) joins(events []byte) bool {
	for len(events) > 0 {
		event, rest, _ := bytes.Cut(events, eventEnd)
		if !isComment(event) {
			s.joining = false
			id, ok := parseLastID(event)
			return ok && isLater(id, s.events.lastID)
		}
		events = rest
	}
	return true
}

// isComment reports whether an event has comments alone, or nothing.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// isLater reports whether an event with an ID may follow the one with the ID last. The IDs of a
// stream increase. Of IDs that are no numbers only a repeated one is known not to.
func isLater(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	before, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return n > before
}

package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxHeadBytes limits what is read for the status line and the headers of an answer,
// interim answers before it included. Without it, an upstream that sends bytes without
// end would fill the memory.
const maxHeadBytes = 32 << 10

// maxQuotedBytes limits how much of a line an error quotes.
const maxQuotedBytes = 80

// errHeadTooLong reports that an answer has no end of its headers in sight.
var errHeadTooLong = errors.New("the head of the answer is too long")

// headError reports a line that the head of an HTTP/1.1 answer cannot have.
type headError struct {
	problem string
	line    []byte
}

// Error implements error.
func (e *headError) Error() string {
	return fmt.Sprintf("the head of the answer has %s: %.*q", e.problem, maxQuotedBytes, e.line)
}

// awaitHead waits until the buffer holds the whole head of the next answer, of at most limit
// bytes, and returns its size. A head that is not HTTP/1.1 is an error as soon as the line has
// come that shows it. It must pass before net/http parses the head, which reads past names with
// blanks and joins lines, and then takes the body to be framed in another way.
func (c *conn) awaitHead(limit int) (int, error) {
	var h head
	for seen := 0; seen < limit; {
		// Peek waits for at least one more byte.
		_, err := c.br.Peek(seen + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			c.growBuffer()
			continue
		}
		if err != nil {
			return 0, cutHead(err, seen)
		}
		seen = min(c.br.Buffered(), limit)
		text, _ := c.br.Peek(seen)
		if done, err := h.check(text); done || err != nil {
			return h.size, err
		}
	}
	return 0, errHeadTooLong
}

// cutHead returns the error for a connection that ended with err after n bytes of a head.
func cutHead(err error, n int) error {
	if errors.Is(err, io.EOF) && n > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// growBuffer makes room for a head that is longer than the buffer.
func (c *conn) growBuffer() {
	held, _ := c.br.Peek(c.br.Buffered())
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(held)), c.Conn), maxHeadBytes)
}

// head is how far the head of an answer has been checked.
type head struct {
	// size is that of the lines that were checked.
	size int
	// started is set after the status line, http10 if its version has no chunks.
	started, http10 bool
}

// check checks the lines of text, the beginning of an answer, that have come since it was called
// last. It reports whether the head is complete.
func (h *head) check(text []byte) (done bool, err error) {
	for {
		end := bytes.IndexByte(text[h.size:], '\n')
		if end < 0 {
			return false, nil
		}
		line := bytes.TrimSuffix(text[h.size:h.size+end], []byte("\r"))
		h.size += end + 1
		switch {
		case !h.started:
			h.started = true
			err = h.checkStatus(line)
		case len(line) == 0:
			return true, nil
		default:
			err = h.checkField(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// statusLineBytes is the size of a status line without its reason.
const statusLineBytes = len("HTTP/1.1 200")

// checkStatus checks a status line: HTTP/1.x, one blank, a status from 100 to 599, and another
// blank if a reason follows.
func (h *head) checkStatus(line []byte) error {
	version, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || len(line) < statusLineBytes || !isDigit(version[0]) || version[1] != ' ' || len(line) > statusLineBytes && line[statusLineBytes] != ' ' {
		return &headError{"no status line of HTTP/1.1", line}
	}
	status := line[statusLineBytes-3 : statusLineBytes]
	if status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return &headError{"a status that is not from 100 to 599", line}
	}
	h.http10 = version[0] == '0'
	return nil
}

// checkField checks a header line. A line that begins with a blank continues the one before it
// by an obsolete rule: it is refused, as a name with a blank before it looks the same.
func (h *head) checkField(line []byte) error {
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 {
		return &headError{"a line without a name", line}
	}
	for _, b := range name {
		if !isNameByte(b) {
			return &headError{"a name with a byte that no name has", line}
		}
	}
	if h.http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return &headError{"an encoding that HTTP/1.0 has not", line}
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isNameByte reports whether b may be part of the name of a header, see RFC 9110, section 5.6.2.
func isNameByte(b byte) bool {
	return isDigit(b) || 'a' <= b|0x20 && b|0x20 <= 'z' || strings.IndexByte("-!#$%&'*+.^_`|~", b) >= 0
}

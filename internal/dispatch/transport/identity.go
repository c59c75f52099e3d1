package transport

// identity is how the answer to a request is told from those to others.
type identity int

const (
	// byConnection means that the request has its connection for itself.
	byConnection identity = iota
	// byID means that the answer bears the ID of the request.
	byID
	// byMarks means that the answer holds marks that no other answer has. One without
	// marks ends the use of its connection: a second copy of it could not be told from the
	// next answer.
	byMarks
	// interchangeable means that the answers to all requests of the kind are alike: nothing
	// depends on which of them comes for which request.
	interchangeable
)

// identity returns how the answer to the request is told from others.
func (r Request) identity() identity {
	switch {
	case r.ID != "":
		return byID
	case r.Marked:
		return byMarks
	case r.Cleanup:
		return interchangeable
	default:
		return byConnection
	}
}

// answerIsSigned reports whether a success must have a signature: that to a call with marks
// has none, and the same holds for calls whose answers are interchangeable.
func (r Request) answerIsSigned() bool {
	of := r.identity()
	return of == byID || of == byConnection
}

// fits reports whether a request may be sent on an idle connection. Requests whose answers
// are told apart in different ways share none, as the answer to one could be taken for that
// to another.
func (c *conn) fits(r Request) bool {
	of := r.identity()
	return of != byConnection && of == c.identity && !c.carried.has(r.ID)
}

// accounted reports whether the answer is known to be that of the request and a second copy
// of it would be recognized, so that its connection may carry another request.
func (x *exchange) accounted(marked bool) bool {
	switch x.request.identity() {
	case byID, interchangeable:
		return true
	case byMarks:
		return marked
	default:
		return false
	}
}

// Identify tells an answer to a Request with Marked set by its marks, and reports whether it
// may be the answer to that request: none of the marks has come on the connection before,
// and each comes once. Close keeps the connection only if it does and there is a mark.
func (a *Answered) Identify(marks []string) bool {
	for _, mark := range marks {
		if !a.carried.add(mark) {
			a.Discard()
			return false
		}
	}
	a.marked = len(marks) > 0
	return true
}

package upstream

import (
	"fmt"
	"io"

	"hawthornhub.example/hawthornhub/internal/wire/strictjson"
)

const (
	// maxMessageBytes is the maximum size of what an upstream tells its agent.
	maxMessageBytes = 64 << 10
	// maxCount is the largest number of slots or requests that an upstream may state.
	maxCount = 1 << 20
)

// InvalidMessageError reports what an upstream tells its agent and no agent can use.
type InvalidMessageError struct {
	// Message is what the upstream sent, Problem what is wrong, and Remedy what to send.
	Message, Problem, Remedy string
}

// Error implements error.
func (e *InvalidMessageError) Error() string { return e.Message + ": " + e.Problem + "; " + e.Remedy }

// DecodeAnnouncement reads an Announcement. The error is an *InvalidMessageError or a
// *strictjson.Error.
func DecodeAnnouncement(r io.Reader) (Announcement, error) {
	var a Announcement
	if err := decodeMessage(r, &a); err != nil {
		return Announcement{}, err
	}
	if a.Kind == "" || a.Address == "" || a.Slots < 1 || a.Slots > maxCount {
		problem := fmt.Sprintf("kind %q, address %q, slots %d", a.Kind, a.Address, a.Slots)
		return Announcement{}, &InvalidMessageError{Message: "announcement", Problem: problem, Remedy: fmt.Sprintf("announce kind, address, and slots from 1 to %d", maxCount)}
	}
	return a, nil
}

// DecodeLoad reads a Load, with errors like DecodeAnnouncement.
func DecodeLoad(r io.Reader) (Load, error) {
	var l Load
	if err := decodeMessage(r, &l); err != nil {
		return Load{}, err
	}
	if min(l.Running, l.Waiting) < 0 || max(l.Running, l.Waiting) > maxCount || l.AgeMs < 0 {
		problem := fmt.Sprintf("running %d, waiting %d, age %d ms", l.Running, l.Waiting, l.AgeMs)
		return Load{}, &InvalidMessageError{Message: "load report", Problem: problem, Remedy: fmt.Sprintf("report running and waiting from 0 to %d, and an age of 0 or more", maxCount)}
	}
	return l, nil
}

func decodeMessage(r io.Reader, v any) error {
	body, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	if err != nil {
		return &InvalidMessageError{Message: "message", Problem: err.Error(), Remedy: "send it again"}
	}
	return strictjson.Decode(body, v)
}

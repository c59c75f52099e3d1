package catalog

import (
	"fmt"
	"unicode/utf8"

	"hawthornhub.example/hawthornhub/internal/state/starts"
)

// InvalidUpstreamError reports an announcement that no table may hold.
type InvalidUpstreamError struct {
	// Field is the invalid field, Remedy what to announce instead.
	Field, Remedy string
}

// Error implements error.
func (e *InvalidUpstreamError) Error() string {
	return fmt.Sprintf("the upstream's %s is not valid; %s", e.Field, e.Remedy)
}

// Validate returns an *InvalidUpstreamError if the upstream cannot be told to other
// processes, as a message with text that is not UTF-8 cannot be encoded, whatever else it
// holds, or if the log cannot record that it has ended.
func (u Upstream) Validate() error {
	for _, f := range []struct{ name, value string }{
		{"ID", u.ID}, {"service", u.Service}, {"address", u.Address}, {"zone", u.Zone}, {"version", u.Version},
	} {
		if !utf8.ValidString(f.value) {
			return &InvalidUpstreamError{Field: f.name, Remedy: "announce it in UTF-8"}
		}
	}
	if len(u.ID) > starts.MaxIDBytes {
		return &InvalidUpstreamError{Field: "ID", Remedy: fmt.Sprintf("announce one of at most %d bytes", starts.MaxIDBytes)}
	}
	return nil
}

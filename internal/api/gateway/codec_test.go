package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// testCodec uses short header names of its own.
func testCodec() HeaderCodec {
	return HeaderCodec{
		Parse: func(h http.Header) (Attributes, error) {
			left, _ := strconv.Atoi(h.Get("Left-Ms"))
			a := Attributes{ID: h.Get("Id"), Credential: testCredential(h.Get("Key")), Left: time.Duration(left) * time.Millisecond, PieceKey: "pk"}
			for _, id := range strings.Split(h.Get("Prompt"), ",") {
				if id != "" {
					a.Prompt = append(a.Prompt, PromptSegment{ID: id})
				}
			}
			for _, n := range strings.Split(h.Get("Pieces"), ",") {
				if n != "" {
					v, _ := strconv.Atoi(n)
					a.Pieces = append(a.Pieces, v)
				}
			}
			a.OutputTokens, _ = strconv.Atoi(h.Get("Tokens"))
			return a, nil
		},
		ToUpstream: func(h http.Header, a UpstreamAttributes) http.Header {
			out := http.Header{"Id": {h.Get("Id")}, "Account": {a.Account}, "Target": {a.Upstream}, "Tokens": {h.Get("Tokens")}}
			if a.LastEventID != "" {
				out.Set("After", a.LastEventID)
			}
			if len(a.Inputs) > 0 {
				out.Set("Inputs", strings.Join(a.Inputs, ","))
			}
			return out
		},
		ToCaller: func(h http.Header) http.Header {
			out := h.Clone()
			out.Del("Connection")
			return out
		},
	}
}

// testCredential returns the credential of a header, in which two keys are separated by a
// comma.
func testCredential(text string) Credential {
	switch {
	case text == "":
		return NoKey{}
	case strings.Contains(text, ","):
		return AmbiguousKey{}
	}
	return Key{Value: text}
}

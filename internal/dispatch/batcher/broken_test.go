package batcher

import (
	"net/http"
	"strings"
	"testing"
)

// A result in an answer that is not HTTP/1.1 goes to no request, and the call is made again.
func TestBrokenAnswerGivesNoResult(t *testing.T) {
	whole := httpAnswer(200, `[{"Handle":"127.0.0.1:1/broken"}]`)
	for name, broken := range map[string]string{
		"blank in a name":             strings.Replace(whole, "\r\n", "\r\nX Y: z\r\n", 1),
		"blank before a colon":        strings.Replace(whole, "Length:", "Length :", 1),
		"blank before a name":         strings.Replace(whole, "\r\n", "\r\n X: z\r\n", 1),
		"blank in an interim answer":  "HTTP/1.1 102 Wait\r\nX Y: z\r\n\r\n" + whole,
		"no status":                   strings.Replace(whole, "200 OK", "000 OK", 1),
		"status past the last one":    strings.Replace(whole, "200 OK", "600 OK", 1),
		"blank in a rejection's name": "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := startCopying(t, 1<<30, func(r *http.Request) string {
				if r.URL.Path != "/run" {
					return ""
				}
				return broken
			})
			o := newCopyingOwner(t, u)
			checkCompleted(t, o.Do(t.Context(), newJob("r", 1)), "r", 1)
		})
	}
}

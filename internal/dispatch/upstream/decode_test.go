package upstream

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestInvalidMessagesAreRefused guards against an announcement or a load report that is taken for
// another one than the upstream sent, or whose numbers nothing can use.
func TestInvalidMessagesAreRefused(t *testing.T) {
	const good = `{"kind":"generate","slots":4,"address":"10.0.0.9:80"}`
	if a, err := DecodeAnnouncement(strings.NewReader(good)); err != nil || a.Slots != 4 {
		t.Errorf("got %+v, %v, want four slots", a, err)
	}
	for _, body := range []string{
		``, `{}`, strings.Replace(good, "4", "0", 1), strings.Replace(good, "4", "4294967297", 1), strings.Replace(good, "generate", "caf\xe9", 1),
		strings.Replace(good, `"slots":4`, `"slots":4,"slots":5`, 1), good + good, `{"kind":"` + strings.Repeat("x", maxMessageBytes) + `"}`,
	} {
		if a, err := DecodeAnnouncement(strings.NewReader(body)); err == nil || !strings.Contains(err.Error(), ";") {
			t.Errorf("%.80s: got %+v, %v, want an error with a remedy", body, a, err)
		}
	}
	for _, body := range []string{``, `{"running":-1}`, `{"waiting":1e300}`, `{"waiting":1048577}`, `{"age_ms":-1}`, `{"running":1,"Running":2}`} {
		if l, err := DecodeLoad(strings.NewReader(body)); err == nil || !strings.Contains(err.Error(), ";") {
			t.Errorf("%s: got %+v, %v, want an error with a remedy", body, l, err)
		}
	}
}

// FuzzMessages guards against a message of an upstream that ends its agent, or that is accepted as
// another one.
func FuzzMessages(f *testing.F) {
	f.Add(`{"kind":"generate","model":"m","slots":4,"address":"10.0.0.9:80","fenced":true,"boot":"b"}`)
	f.Add(`{"running":3,"waiting":1,"age_ms":20}`)
	f.Add("{\"kind\":\"\xff\"}")
	f.Fuzz(func(t *testing.T, body string) {
		if a, err := DecodeAnnouncement(strings.NewReader(body)); err == nil {
			if again, err := DecodeAnnouncement(strings.NewReader(encode(t, a))); err != nil || again != a {
				t.Errorf("got %+v (%v), want %+v", again, err, a)
			}
		}
		if l, err := DecodeLoad(strings.NewReader(body)); err == nil {
			if again, err := DecodeLoad(strings.NewReader(encode(t, l))); err != nil || again != l {
				t.Errorf("got %+v (%v), want %+v", again, err, l)
			}
		}
	})
}

// FuzzLine guards against a line of an answer that ends the agent, or that is accepted as another
// one than the upstream sent.
func FuzzLine(f *testing.F) {
	f.Add(`{"id":"a1","seq":1,"data":"AAE="}`)
	f.Add(`{"id":"a1","end":true,"chunks":2,"chunks":3}`)
	f.Add("{\"id\":\"a1\",\"error\":\"caf\xe9\"}")
	f.Fuzz(func(t *testing.T, text string) {
		line, err := nextLine(json.NewDecoder(strings.NewReader(text)))
		if err != nil {
			return
		}
		again, err := nextLine(json.NewDecoder(strings.NewReader(encode(t, line))))
		if err != nil || encode(t, again) != encode(t, line) {
			t.Errorf("got %+v (%v), want %+v", again, err, line)
		}
	})
}

// TestLinesThatWouldBeChanged guards against a line whose fields occur twice, of which the last
// ones would count.
func TestLinesThatWouldBeChanged(t *testing.T) {
	for _, text := range []string{`{"id":"a1","end":true,"chunks":2,"chunks":3}`, "{\"id\":\"a1\",\"error\":\"caf\xe9\"}"} {
		if line, err := nextLine(json.NewDecoder(strings.NewReader(text))); err == nil {
			t.Errorf("%q: got %+v, want an error", text, line)
		}
	}
}

func encode(t *testing.T, v any) string {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return string(b)
}

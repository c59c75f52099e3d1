package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
)

// FuzzBody guards against a body of a caller that ends the process, or that is accepted as another
// one than was sent.
func FuzzBody(f *testing.F) {
	for _, body := range []string{`{"input":"a","tokens":3,"prefix":"p","stream":true}`, "{\"input\":\"\xff\"}", `{"input":"a","Input":"b"}`, `{"input":"a"} {}`, ``, ` `, `{"inptu":1}`} {
		f.Add(body)
	}
	s := &Server{cfg: Config{MaxBodyBytes: 1 << 16}}
	f.Fuzz(func(t *testing.T, text string) {
		decode := func(text string) (Body, error) {
			return s.decodeBody(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text)))
		}
		body, err := decode(text)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(body)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		if again, err := decode(string(encoded)); err != nil || !reflect.DeepEqual(again, body) {
			t.Errorf("sent again as %s it is %+v (%v), want %+v", encoded, again, err, body)
		}
	})
}

// TestBodyThatWouldBeChangedIsRefused guards against a body that is taken for another one.
func TestBodyThatWouldBeChangedIsRefused(t *testing.T) {
	s := &Server{cfg: Config{MaxBodyBytes: 1 << 16}}
	for text, want := range map[string]string{
		"{\"input\":\"caf\xe9\"}": "input: is not UTF-8", `{"input":"a","input":"b"}`: "twice", `{"input":"a"}{}`: "after top-level value",
		`{"inptu":"a"}`: "inptu", ``: "empty", `{"input":"` + strings.Repeat("x", 1<<16) + `"}`: "too large",
	} {
		_, err := s.decodeBody(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text)))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60s: got %v, want %q", text, err, want)
		}
	}
}

package operator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// TestBodyThatWouldBeChangedIsRefused guards against an edit, an order or a drain that is taken for
// another one than the operator sent.
func TestBodyThatWouldBeChangedIsRefused(t *testing.T) {
	for body, want := range map[string]string{
		`{"id":"e1","section":"routing","text":"x"}`:              http.StatusText(http.StatusOK),
		"{\"id\":\"e1\",\"text\":\"caf\xe9\"}":                    "text: is not UTF-8",
		`{"id":"e1","id":"e2","text":"x"}`:                        "id: the field is there twice",
		`{"id":"e1","text":"x"}{"id":"e2"}`:                       "after top-level value",
		`{"id":"e1","txet":"x"}`:                                  "txet",
		`{"id":"e1","text":"` + strings.Repeat("x", 5<<20) + `"}`: "too large",
	} {
		w := httptest.NewRecorder()
		var e Edit
		ok := readJSON(w, httptest.NewRequest(http.MethodPost, "/v1/edits", strings.NewReader(body)), &e)
		if wantOK := want == http.StatusText(http.StatusOK); ok != wantOK || !ok && (w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), want)) {
			t.Errorf("%.60s: got %v, %d %s, want %s", body, ok, w.Code, w.Body, want)
		}
	}
}

// TestQueryOutOfRangeIsRefused guards against a parameter that is ignored, or that no message to
// another process can hold.
func TestQueryOutOfRangeIsRefused(t *testing.T) {
	s := NewServer(Config{})
	for query, want := range map[string]int{
		"": http.StatusOK, "limit=7&request=a1": http.StatusOK,
		"limit=x": http.StatusBadRequest, "limit=-1": http.StatusBadRequest, "limit=4294967296": http.StatusBadRequest, "request=%ff": http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "/v1/timeline?"+query, nil)
		s.cfg.Members = func() []*fleetpb.Member { return nil }
		s.timeline(w, r, request{ctx: r.Context()})
		if w.Code != want {
			t.Errorf("%s: got %d, want %d", query, w.Code, want)
		}
	}
}

// FuzzBodies guards against a body that ends the process, or that is accepted and that the log
// cannot hold as it is.
func FuzzBodies(f *testing.F) {
	f.Add([]byte(`{"id":"e1","base":7,"section":"routing","text":"x"}`))
	f.Add([]byte(`{"id":"o1","upstream":"u","action":"load","model":"m"}`))
	f.Add([]byte(`{"name":"p"}`))
	f.Add([]byte("{\"id\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, body []byte) {
		var e Edit
		var o Order
		var d Drain
		for _, v := range []any{&e, &o, &d} {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(string(body)))
			if !readJSON(httptest.NewRecorder(), r, v) {
				continue
			}
			for _, m := range []proto.Message{
				&statepb.Edit{Id: e.ID, Base: e.Base, Whole: e.Whole, Sections: map[string]string{e.Section: e.Text}},
				&statepb.Order{Id: o.ID, Upstream: o.Upstream, Action: o.Action, Model: o.Model},
			} {
				if _, err := proto.Marshal(m); err != nil {
					t.Fatalf("%s was accepted: %v", body, err)
				}
			}
			encoded, err := json.Marshal(v)
			if err != nil {
				t.Fatalf("encode: %v", err)
			}
			again := reflect.New(reflect.TypeOf(v).Elem()).Interface()
			r = httptest.NewRequest(http.MethodPost, "/", strings.NewReader(string(encoded)))
			if !readJSON(httptest.NewRecorder(), r, again) || !reflect.DeepEqual(again, v) {
				t.Errorf("sent again as %s it is %+v, want %+v", encoded, again, v)
			}
		}
	})
}

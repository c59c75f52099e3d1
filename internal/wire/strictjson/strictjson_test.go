package strictjson

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"unicode/utf8"
)

type message struct {
	Name  string            `json:"name"`
	Items []message         `json:"items,omitempty"`
	Text  map[string]string `json:"text,omitempty"`
	Count int               `json:"count"`
}

// TestTextThatWouldBeChangedIsRefused guards against a value that is taken for another one
// than was sent, and against a refusal that does not name the field.
func TestTextThatWouldBeChangedIsRefused(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{`{"name":"a","count":3,"other":[{"x":1},{"x":1}]}`, ""},
		{`{"name":"\ud83d\ude00 \\ud83d \u00e9 \ufffd"}`, ""},
		{`{"":"a","x":{"":1}}`, ""},
		{`{"name":"a"} `, ""},
		{"{\"name\":\"caf\xe9\"}", "name: is not UTF-8; send it in UTF-8"},
		{"{\"items\":[{},{\"name\":\"\xff\"}]}", "items[1].name: is not UTF-8; send it in UTF-8"},
		{"{\"text\":{\"a\xff\":\"\"}}", "text: the name of a field is not UTF-8; send it in UTF-8"},
		{"{\"other\":[[1,\"\xc0\x80\"]]}", "other[0][1]: is not UTF-8; send it in UTF-8"},
		{`{"name":"\ud83d"}`, "name: has half of a surrogate pair; send it in UTF-8"},
		{`{"name":"\ud83d\u0041"}`, "name: has half of a surrogate pair; send it in UTF-8"},
		{`{"name":"\ude00\ud83d"}`, "name: has half of a surrogate pair; send it in UTF-8"},
		{`{"name":"a","name":"b"}`, "name: the field is there twice; remove one"},
		{`{"items":[{"count":1}],"Items":[{"name":"b"}]}`, "Items: the field is there twice; remove one"},
		{`{"items":[{"count":1,"COUNT":2}]}`, "items[0].COUNT: the field is there twice; remove one"},
		{`{"items":[],"item\u017f":[]}`, "item\u017f: the field is there twice; remove one"},
		{`{"":1,"":2}`, "the field is there twice; remove one"},
		{`{"count":"3"}`, "count: json: cannot unmarshal string"},
		{`{"count":1e400}`, "count: json: cannot unmarshal number"},
		{`{"count":1.5}`, "count: json: cannot unmarshal number"},
		{`{"name":"a"}{}`, "after top-level value; send one whole JSON value"},
		{`{"name":"a"`, "unexpected end of JSON input; send one whole JSON value"},
		{``, "unexpected end of JSON input; send one whole JSON value"},
		{strings.Repeat("[", 20000) + strings.Repeat("]", 20000), "exceeded max depth; send one whole JSON value"},
	} {
		var m message
		err := Decode([]byte(tt.text), &m)
		if tt.want == "" && err != nil {
			t.Errorf("%.60s: got %v, want no error", tt.text, err)
		}
		var e *Error
		if tt.want != "" && (!errors.As(err, &e) || !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("%.60s: got %v, want an Error with %q", tt.text, err, tt.want)
		}
	}
}

// TestUnknownFields guards against a misspelled field that is ignored where all are known, and
// against a refusal where senders may add fields.
func TestUnknownFields(t *testing.T) {
	const text = `{"name":"a","nmae":"b"}`
	var m message
	if err := Decode([]byte(text), &m); err != nil || m.Name != "a" {
		t.Errorf("got %+v, %v, want the known field", m, err)
	}
	if err := DecodeKnown([]byte(text), &m); err == nil || !strings.Contains(err.Error(), "nmae") {
		t.Errorf("got %v, want an error that names the field", err)
	}
}

// FuzzDecode guards against a text that ends the decoder, and against one that is accepted as
// another value than it holds.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{
		`{"name":"a","items":[{"count":3}],"text":{"a":"b"}}`, `{"name":"\ud83d\ude00\n"}`, `{"name":"\ud83d"}`, `{"name":"a","NAME":"b"}`,
		"{\"name\":\"\xff\"}", `[[[{"":[]}]]]`, `null`, `"\\u"`, `{"\u212a":1,"k":2}`, ``, `{"a":1}x`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var m message
		if err := Decode(text, &m); err != nil {
			var e *Error
			if !errors.As(err, &e) || e.Remedy == "" {
				t.Fatalf("got %v, want an Error with a remedy", err)
			}
			return
		}
		if !utf8.Valid(text) || !json.Valid(text) {
			t.Fatalf("%q was accepted", text)
		}
		encoded, err := json.Marshal(m)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		var again message
		if err := DecodeKnown(encoded, &again); err != nil {
			t.Fatalf("decode %s: %v", encoded, err)
		}
		third, err := json.Marshal(again)
		if err != nil || !reflect.DeepEqual(third, encoded) {
			t.Errorf("got %s (%v), want %s", third, err, encoded)
		}
	})
}

package site

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// adopted returns the document that a command puts in force.
func adopted(a *statepb.Adopt) *statepb.Adopted {
	return &statepb.Adopted{Version: a.Version, Text: a.Text, Encoding: a.Encoding}
}

func TestTextIsReturnedAsSent(t *testing.T) {
	for _, text := range [][]byte{[]byte(`{"version": 7}`), nil, {0, 0xff}, bytes.Repeat([]byte("route "), 1<<20)} {
		got, err := Text(adopted(NewAdopt(7, text)))
		if err != nil || !bytes.Equal(got, text) {
			t.Errorf("a text of %d bytes: got %d bytes and error %v, want the same text", len(text), len(got), err)
		}
	}
	plain := []byte("a text from before texts were compressed")
	if got, err := Text(&statepb.Adopted{Version: 7, Text: plain}); err != nil || !bytes.Equal(got, plain) {
		t.Errorf("got %q and error %v, want %q", got, err, plain)
	}
}

func TestDocumentOfThousandsOfRoutesIsSentInFull(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var text bytes.Buffer
	for range 4000 {
		fmt.Fprintf(&text, `{"name":"r-%x","host":"%x.example","path-prefix":"/%x/","kind":"safe","timeout-ms":1000,"slo-ms":150,"priority":0,"service":"s","max-attempts":2,"stages":[],"allow-anonymous":false,"sticky":false,"resumable":false},`,
			r.Uint32()>>4, r.Uint32()>>16, r.Uint32()>>4)
	}
	if got, limit := proto.Size(NewAdopt(7, text.Bytes())), text.Len()/4; got > limit {
		t.Errorf("a document of %d bytes takes %d, want at most %d", text.Len(), got, limit)
	}
}

func TestDamagedTextIsAnError(t *testing.T) {
	whole := NewAdopt(7, bytes.Repeat([]byte("route "), 1000))
	cut := adopted(whole)
	cut.Text = cut.Text[:len(cut.Text)/2]
	bomb := adopted(NewAdopt(7, make([]byte, MaxTextBytes+1)))
	unknown := adopted(whole)
	unknown.Encoding = 99
	for name, a := range map[string]*statepb.Adopted{"cut short": cut, "larger than the maximum": bomb, "unknown encoding": unknown} {
		if got, err := Text(a); err == nil {
			t.Errorf("%s: got %d bytes, want an error", name, len(got))
		}
	}
}

package evacuation

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// FuzzZone guards against the name of a zone in an operator's order that is accepted and that the
// log cannot hold as it is.
func FuzzZone(f *testing.F) {
	for _, zone := range []string{"z1", "", "caf\xe9", "a/b", "%2F", "\x00"} {
		f.Add(zone)
	}
	f.Fuzz(func(t *testing.T, zone string) {
		if ValidateZone(zone) != nil {
			return
		}
		b, err := proto.Marshal(&statepb.Evacuate{Zone: zone})
		if err != nil {
			t.Fatalf("%q was accepted: %v", zone, err)
		}
		got := &statepb.Evacuate{}
		if err := proto.Unmarshal(b, got); err != nil || got.Zone != zone {
			t.Errorf("got %q (%v), want %q", got.Zone, err, zone)
		}
	})
}

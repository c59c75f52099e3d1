package fsm

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

func adoptCommand(version uint64, text string) *statepb.Command {
	return &statepb.Command{NowMs: startMs, Body: &statepb.Command_Adopt{Adopt: &statepb.Adopt{Version: version, Text: []byte(text)}}}
}

func TestHighestSiteDocumentVersionWins(t *testing.T) {
	m := newMachine(t)
	if got := m.SiteDocument(); got != nil {
		t.Fatalf("got a site document before the first command: %v", got)
	}
	for i, tt := range []struct {
		version uint64
		text    string
		want    string
	}{
		{7, "seven", "7 seven"},
		{3, "three", "7 seven"},
		{7, "another seven", "7 seven"},
		{12, "twelve", "12 twelve"},
		{7, "seven", "12 twelve"},
	} {
		r := m.Apply(uint64(i+2), adoptCommand(tt.version, tt.text))
		if got, want := r.Kind, statepb.ResultKind_RESULT_KIND_OK; got != want {
			t.Errorf("command %d: %v, want %v", i, got, want)
		}
		if got := fmt.Sprintf("%d %s", m.SiteDocument().Version, m.SiteDocument().Text); got != tt.want {
			t.Errorf("command %d: site document %q, want %q", i, got, tt.want)
		}
	}
}

// With two operators, repeated commands and restarts from a snapshot at any
// point, the site document is the first text of the highest version.
func TestSiteDocumentAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		version, text := uint64(0), ""
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 40).Draw(t, "versions")
		for i, v := range steps {
			content := fmt.Sprintf("operator %d", i%2)
			if v > 0 && uint64(v) > version {
				version, text = uint64(v), content
			}
			if v == 0 {
				state, err := m.Snapshot()
				if err != nil {
					t.Fatalf("snapshot: %v", err)
				}
				if m, err = Restore(state); err != nil {
					t.Fatalf("restore: %v", err)
				}
				continue
			}
			m.Apply(uint64(i+2), adoptCommand(uint64(v), content))
		}
		got := fmt.Sprintf("%d %s", m.SiteDocument().GetVersion(), m.SiteDocument().GetText())
		if want := fmt.Sprintf("%d %s", version, text); got != want {
			t.Fatalf("site document %q, want %q", got, want)
		}
	})
}

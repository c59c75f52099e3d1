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

// TestFirstSiteDocumentMayHaveVersionZero guards against a first document of version 0 that is
// acknowledged and not stored, or that a snapshot loses.
func TestFirstSiteDocumentMayHaveVersionZero(t *testing.T) {
	m := newMachine(t)
	m.Apply(2, adoptCommand(0, "zero"))
	m.Apply(3, adoptCommand(0, "another zero"))
	state, err := m.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	restored, err := Restore(state)
	if err != nil {
		t.Fatalf("restore: %v", err)
	}
	for name, m := range map[string]*Machine{"applied": m, "restored": restored} {
		if d := m.SiteDocument(); d == nil || string(d.Text) != "zero" || d.Index != 2 {
			t.Errorf("%s: got %v, want the first document of version 0", name, d)
		}
	}
	m.Apply(4, adoptCommand(1, "one"))
	if got, want := string(m.SiteDocument().GetText()), "one"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// With two operators, repeated commands and restarts from a snapshot at any
// point, the site document is the first text of the highest version.
func TestSiteDocumentAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		version, text := -1, ""
		steps := rapid.SliceOfN(rapid.IntRange(-1, 9), 1, 40).Draw(t, "versions")
		for i, v := range steps {
			content := fmt.Sprintf("operator %d", i%2)
			if v > version {
				version, text = v, content
			}
			if v < 0 {
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
		if want := fmt.Sprintf("%d %s", max(0, version), text); got != want {
			t.Fatalf("site document %q, want %q", got, want)
		}
	})
}

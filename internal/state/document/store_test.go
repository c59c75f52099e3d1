package document

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/test/seed"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// TestMain makes the random tests reproducible with a fixed seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

const keyHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

func baseText() string {
	return `[teams.routers]
key_sha256 = "` + keyHash + `"
sections = ["routing", "upstreams"]

[teams.insurers]
key_sha256 = "` + keyHash + `"
sections = ["insurer"]

[routing]
candidates = 2

[insurer]
max_document_age_ms = 5000

[upstreams]
long_tokens = 100
`
}

func newStore(t interface{ Fatalf(string, ...any) }) *Store {
	st, err := NewStore(1, Split(baseText()))
	if err != nil {
		t.Fatalf("new store: %v", err)
	}
	return st
}

func routingText(n int) string { return fmt.Sprintf("[routing]\ncandidates = %d\n", n) }

func edit(id, team string, base uint64, section, text string) *statepb.Edit {
	return &statepb.Edit{Id: id, Team: team, Base: base, Sections: map[string]string{section: text}}
}

func checkKind(t *testing.T, r *statepb.Result, want statepb.ResultKind) {
	t.Helper()
	if got := r.Kind; got != want {
		t.Errorf("result %v (%s), want %v", got, r.Detail, want)
	}
}

func TestSecondEditOfSameBaseConflicts(t *testing.T) {
	st := newStore(t)
	checkKind(t, st.Edit(2, 0, edit("a", "routers", 1, "routing", routingText(3))), statepb.ResultKind_RESULT_KIND_OK)
	r := st.Edit(3, 0, edit("b", "routers", 1, "routing", routingText(4)))
	checkKind(t, r, statepb.ResultKind_RESULT_KIND_CONFLICT)
	if got, want := r.Standing, routingText(3); got != want {
		t.Errorf("standing %q, want %q", got, want)
	}
	if got, want := r.Index, uint64(2); got != want {
		t.Errorf("standing version %d, want %d", got, want)
	}
}

func TestResentEditGetsFirstOutcome(t *testing.T) {
	st := newStore(t)
	first := st.Edit(2, 0, edit("a", "routers", 1, "routing", routingText(3)))
	st.Edit(3, 0, edit("b", "routers", 2, "routing", routingText(4)))
	again := st.Edit(4, 0, edit("a", "routers", 1, "routing", routingText(3)))
	if !proto.Equal(first, again) {
		t.Errorf("resent edit got %v, want %v", again, first)
	}
	if got, want := st.Schema().Routing.Candidates, 4; got != want {
		t.Errorf("candidates %d, want %d: the document reverted", got, want)
	}
}

// An edit ID older than DedupeWindow is no longer recognised. A resent edit is
// then rejected because its base version is out of date.
func TestResentEditAfterDedupeWindowConflicts(t *testing.T) {
	st := newStore(t)
	old := edit("old", "routers", 1, "routing", routingText(3))
	checkKind(t, st.Edit(2, 0, old), statepb.ResultKind_RESULT_KIND_OK)
	version := uint64(2)
	for i := range DedupeWindow + 1 {
		index := uint64(i + 3)
		checkKind(t, st.Edit(index, 0, edit(fmt.Sprint(i), "routers", version, "routing", routingText(2+i%7))), statepb.ResultKind_RESULT_KIND_OK)
		version = index
	}
	checkKind(t, st.Edit(version+1, 0, old), statepb.ResultKind_RESULT_KIND_CONFLICT)
}

func TestTeamsEditOnlyOwnSections(t *testing.T) {
	st := newStore(t)
	checkKind(t, st.Edit(2, 0, edit("a", "insurers", 1, "routing", routingText(3))), statepb.ResultKind_RESULT_KIND_FORBIDDEN)
	checkKind(t, st.Edit(3, 0, edit("b", "routers", 1, "routing", routingText(3)+"[insurer]\nmax_document_age_ms = 60000\n")), statepb.ResultKind_RESULT_KIND_FORBIDDEN)
	whole := strings.Replace(baseText(), "candidates = 2", "candidates = 5", 1)
	checkKind(t, st.Edit(4, 0, &statepb.Edit{Id: "c", Team: "routers", Base: 1, Whole: true, Sections: Split(whole)}), statepb.ResultKind_RESULT_KIND_OK)
	both := strings.Replace(whole, "5000", "6000", 1)
	checkKind(t, st.Edit(5, 0, &statepb.Edit{Id: "d", Team: "routers", Base: 4, Whole: true, Sections: Split(both)}), statepb.ResultKind_RESULT_KIND_FORBIDDEN)
}

func TestInvalidEditNamesLineAndRemedy(t *testing.T) {
	st := newStore(t)
	r := st.Edit(2, 0, edit("a", "routers", 1, "routing", "[routing]\ncandidats = 3\n"))
	checkKind(t, r, statepb.ResultKind_RESULT_KIND_INVALID)
	for _, want := range []string{"line ", "candidats", "correct its name"} {
		if !strings.Contains(r.Detail, want) {
			t.Errorf("detail %q does not name %q", r.Detail, want)
		}
	}
	if got, want := st.Index(), uint64(1); got != want {
		t.Errorf("document index %d after a rejected edit, want %d", got, want)
	}
}

// model is a reference implementation for one section, whose only key has the
// value n.
type model struct {
	version  uint64
	n        int
	outcomes map[string]statepb.ResultKind
}

// TestStoreAgainstModel compares random edits, resends and restores from a
// snapshot with the model.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st := newStore(t)
		m := model{version: 1, n: 2, outcomes: make(map[string]statepb.ResultKind)}
		index := uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			index++
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				next, err := RestoreStore(st.Document(), st.Outcomes())
				if err != nil {
					t.Fatalf("restore: %v", err)
				}
				st = next
			}
			id := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id"))
			base := uint64(rapid.IntRange(1, int(index)).Draw(t, "base"))
			if rapid.Bool().Draw(t, "fresh") {
				base = m.version
			}
			n := rapid.IntRange(0, 9).Draw(t, "n")
			got := st.Edit(index, 0, edit(id, "routers", base, "routing", routingText(n))).Kind
			want, seen := m.outcomes[id]
			if !seen {
				switch {
				case base != m.version:
					want = statepb.ResultKind_RESULT_KIND_CONFLICT
				case n < 1:
					want = statepb.ResultKind_RESULT_KIND_INVALID
				default:
					want = statepb.ResultKind_RESULT_KIND_OK
					m.version, m.n = index, n
				}
				m.outcomes[id] = want
			}
			if got != want {
				t.Fatalf("edit %s base %d: %v, want %v", id, base, got, want)
			}
			if got, want := st.Schema().Routing.Candidates, m.n; got != want {
				t.Fatalf("candidates %d, want %d", got, want)
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(baseText())
	f.Add("[routing]\npolicy = 3")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err == nil {
			_ = s.Insurer.MaxAge()
		}
		joined := Join(Split(text))
		if _, err2 := Parse(joined); err == nil && err2 != nil && !strings.Contains(text, "'''") && !strings.Contains(text, `"""`) {
			t.Skip("a document whose tables cannot be told apart line by line")
		}
	})
}

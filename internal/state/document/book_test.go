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

// TestMain fixes the seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

const hash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

func firstText() string {
	return `[teams.routers]
key_sha256 = "` + hash + `"
sections = ["routing", "upstreams"]

[teams.insurers]
key_sha256 = "` + hash + `"
sections = ["insurer"]

[routing]
candidates = 2

[insurer]
max_document_age_ms = 5000

[upstreams]
long_tokens = 100
`
}

func newBook(t interface{ Fatalf(string, ...any) }) *Book {
	b, err := NewBook(1, Split(firstText()))
	if err != nil {
		t.Fatalf("new book: %v", err)
	}
	return b
}

func routing(n int) string { return fmt.Sprintf("[routing]\ncandidates = %d\n", n) }

func edit(id, team string, base uint64, section, text string) *statepb.Edit {
	return &statepb.Edit{Id: id, Team: team, Base: base, Sections: map[string]string{section: text}}
}

func kind(t *testing.T, r *statepb.Result, want statepb.ResultKind) {
	t.Helper()
	if got := r.Kind; got != want {
		t.Errorf("result %v (%s), want %v", got, r.Detail, want)
	}
}

func TestEqualBasesFirstWins(t *testing.T) {
	b := newBook(t)
	kind(t, b.Edit(2, 0, edit("a", "routers", 1, "routing", routing(3))), statepb.ResultKind_RESULT_KIND_OK)
	r := b.Edit(3, 0, edit("b", "routers", 1, "routing", routing(4)))
	kind(t, r, statepb.ResultKind_RESULT_KIND_CONFLICT)
	if got, want := r.Standing, routing(3); got != want {
		t.Errorf("standing %q, want %q", got, want)
	}
	if got, want := r.Index, uint64(2); got != want {
		t.Errorf("standing version %d, want %d", got, want)
	}
}

func TestResentEditGetsItsFirstOutcome(t *testing.T) {
	b := newBook(t)
	first := b.Edit(2, 0, edit("a", "routers", 1, "routing", routing(3)))
	b.Edit(3, 0, edit("b", "routers", 2, "routing", routing(4)))
	again := b.Edit(4, 0, edit("a", "routers", 1, "routing", routing(3)))
	if !proto.Equal(first, again) {
		t.Errorf("resent edit got %v, want %v", again, first)
	}
	if got, want := b.Schema().Routing.Candidates, 4; got != want {
		t.Errorf("candidates %d, want %d: the document reverted", got, want)
	}
}

// Past the window the edit id is forgotten, but the old base still refuses.
func TestResendPastTheWindowIsRefusedByItsBase(t *testing.T) {
	b := newBook(t)
	old := edit("old", "routers", 1, "routing", routing(3))
	kind(t, b.Edit(2, 0, old), statepb.ResultKind_RESULT_KIND_OK)
	version := uint64(2)
	for i := range DedupeWindow + 1 {
		index := uint64(i + 3)
		kind(t, b.Edit(index, 0, edit(fmt.Sprint(i), "routers", version, "routing", routing(2+i%7))), statepb.ResultKind_RESULT_KIND_OK)
		version = index
	}
	kind(t, b.Edit(version+1, 0, old), statepb.ResultKind_RESULT_KIND_CONFLICT)
}

func TestTeamsEditOnlyTheirOwn(t *testing.T) {
	b := newBook(t)
	kind(t, b.Edit(2, 0, edit("a", "insurers", 1, "routing", routing(3))), statepb.ResultKind_RESULT_KIND_FORBIDDEN)
	kind(t, b.Edit(3, 0, edit("b", "routers", 1, "routing", routing(3)+"[insurer]\nmax_document_age_ms = 60000\n")), statepb.ResultKind_RESULT_KIND_FORBIDDEN)
	whole := strings.Replace(firstText(), "candidates = 2", "candidates = 5", 1)
	kind(t, b.Edit(4, 0, &statepb.Edit{Id: "c", Team: "routers", Base: 1, Whole: true, Sections: Split(whole)}), statepb.ResultKind_RESULT_KIND_OK)
	both := strings.Replace(whole, "5000", "6000", 1)
	kind(t, b.Edit(5, 0, &statepb.Edit{Id: "d", Team: "routers", Base: 4, Whole: true, Sections: Split(both)}), statepb.ResultKind_RESULT_KIND_FORBIDDEN)
}

func TestInvalidMergeNamesTheLineAndRemedy(t *testing.T) {
	b := newBook(t)
	r := b.Edit(2, 0, edit("a", "routers", 1, "routing", "[routing]\ncandidats = 3\n"))
	kind(t, r, statepb.ResultKind_RESULT_KIND_INVALID)
	for _, want := range []string{"line ", "candidats", "correct its name"} {
		if !strings.Contains(r.Detail, want) {
			t.Errorf("detail %q does not name %q", r.Detail, want)
		}
	}
	if got, want := b.Index(), uint64(1); got != want {
		t.Errorf("document index %d after a refused edit, want %d", got, want)
	}
}

// oracle is the simplest book: the text, version and outcomes of one section.
type oracle struct {
	version  uint64
	n        int
	outcomes map[string]statepb.ResultKind
}

// Edits, resends and restores from a snapshot against a map.
func TestBookAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBook(t)
		o := oracle{version: 1, n: 2, outcomes: make(map[string]statepb.ResultKind)}
		index := uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			index++
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				next, err := RestoreBook(b.Document(), b.Outcomes())
				if err != nil {
					t.Fatalf("restore: %v", err)
				}
				b = next
			}
			id := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id"))
			base := uint64(rapid.IntRange(1, int(index)).Draw(t, "base"))
			if rapid.Bool().Draw(t, "fresh") {
				base = o.version
			}
			n := rapid.IntRange(0, 9).Draw(t, "n")
			got := b.Edit(index, 0, edit(id, "routers", base, "routing", routing(n))).Kind
			want, seen := o.outcomes[id]
			if !seen {
				switch {
				case base != o.version:
					want = statepb.ResultKind_RESULT_KIND_CONFLICT
				case n < 1:
					want = statepb.ResultKind_RESULT_KIND_INVALID
				default:
					want = statepb.ResultKind_RESULT_KIND_OK
					o.version, o.n = index, n
				}
				o.outcomes[id] = want
			}
			if got != want {
				t.Fatalf("edit %s base %d: %v, want %v", id, base, got, want)
			}
			if got, want := b.Schema().Routing.Candidates, o.n; got != want {
				t.Fatalf("candidates %d, want %d", got, want)
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(firstText())
	f.Add("[routing]\npolicy = 3")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err == nil {
			_ = s.Insurer.MaxAge()
		}
		joined := Join(Split(text))
		if _, err2 := Parse(joined); err == nil && err2 != nil && !strings.Contains(text, "'''") && !strings.Contains(text, `"""`) {
			t.Skip("a document that does not split by lines")
		}
	})
}

package fsm

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/state/ledger"
	"hawthornhub.example/hawthornhub/internal/test/seed"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// TestMain makes the random tests reproducible with a fixed seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

const documentText = `[teams.all]
key_sha256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
sections = ["teams", "routing", "accounts", "insurer", "pipelines", "upstreams"]

[accounts.dakgoot]
key_sha256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
rate = 10

[insurer.services.booking]
daily_limit = 3
zones = ["a", "b"]
`

const startMs = int64(1_790_000_000_000)

func newMachine(t interface{ Fatalf(string, ...any) }) *Machine {
	m, err := New(documentText)
	if err != nil {
		t.Fatalf("new machine: %v", err)
	}
	return m
}

func claimCommand(nowMs int64, key, zone string) *statepb.Command {
	return &statepb.Command{NowMs: nowMs, Body: &statepb.Command_Claim{Claim: &statepb.Claim{
		Account: "dakgoot", Key: key, Service: "booking", Owner: "e/1",
		Target: &statepb.Target{Agent: "x", Incarnation: 1, Zone: zone},
	}}}
}

func keyAt(ms int64, n int) string { return fmt.Sprintf("%d-%d", ms, n) }

func TestInsurerConditionsAreCheckedOnApply(t *testing.T) {
	m := newMachine(t)
	cases := []struct {
		zone string
		n    int
		want statepb.ResultKind
	}{
		{"a", 1, statepb.ResultKind_RESULT_KIND_OK},
		{"c", 2, statepb.ResultKind_RESULT_KIND_REFUSED},
		{"b", 3, statepb.ResultKind_RESULT_KIND_OK},
		{"b", 3, statepb.ResultKind_RESULT_KIND_EXISTS},
		{"b", 4, statepb.ResultKind_RESULT_KIND_OK},
		{"b", 5, statepb.ResultKind_RESULT_KIND_REFUSED},
	}
	for i, c := range cases {
		r := m.Apply(uint64(i+2), claimCommand(startMs, keyAt(startMs, c.n), c.zone))
		if got := r.Kind; got != c.want {
			t.Errorf("claim %d in zone %s: %v (%s), want %v", c.n, c.zone, got, r.Detail, c.want)
		}
	}
	day := 24 * time.Hour.Milliseconds()
	if got, want := m.Apply(20, claimCommand(startMs+day, keyAt(startMs+day, 9), "a")).Kind, statepb.ResultKind_RESULT_KIND_OK; got != want {
		t.Errorf("claim on the next day: %v, want %v", got, want)
	}
}

func TestCallThatDidNotRunIsNotCounted(t *testing.T) {
	m := newMachine(t)
	for i := range 6 {
		key := keyAt(startMs, i)
		if got, want := m.Apply(uint64(2*i+2), claimCommand(startMs, key, "a")).Kind, statepb.ResultKind_RESULT_KIND_OK; got != want {
			t.Fatalf("claim %d: %v, want %v", i, got, want)
		}
		m.Apply(uint64(2*i+3), &statepb.Command{NowMs: startMs, Body: &statepb.Command_Resolve{Resolve: &statepb.Resolve{
			Account: "dakgoot", Key: key, Attempt: 1, Outcome: statepb.Outcome_OUTCOME_NOT_RUN,
		}}})
	}
}

func TestExpiredKeyCannotBeClaimedAgain(t *testing.T) {
	m := newMachine(t)
	key := keyAt(startMs, 1)
	m.Apply(2, claimCommand(startMs, key, "a"))
	later := startMs + ledger.Retention.Milliseconds() + 1
	m.Apply(3, &statepb.Command{NowMs: later, Body: &statepb.Command_Sweep{Sweep: &statepb.Sweep{}}})
	if got, want := m.ClaimCount(), 0; got != want {
		t.Fatalf("%d claims kept, want %d", got, want)
	}
	for i, nowMs := range []int64{later, startMs} {
		if got, want := m.Apply(uint64(4+i), claimCommand(nowMs, key, "a")).Kind, statepb.ResultKind_RESULT_KIND_EXPIRED; got != want {
			t.Errorf("claim of a removed key at %d: %v, want %v", nowMs, got, want)
		}
	}
}

// The units granted in a window never exceed the account's limit, and every
// grant expires with its window.
func TestQuotaIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		nowMs, index := startMs-startMs%5000, uint64(1)
		granted := make(map[int64]uint64)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			nowMs += int64(rapid.IntRange(0, 900).Draw(t, "ms"))
			index++
			r := m.Apply(index, &statepb.Command{NowMs: nowMs, Body: &statepb.Command_Grant{Grant: &statepb.Grant{
				Account: "dakgoot", Entry: "e", Units: uint64(rapid.IntRange(1, 30).Draw(t, "units")),
			}}})
			granted[nowMs/5000] += r.Units
			if got, want := granted[nowMs/5000], uint64(50); got > want {
				t.Fatalf("%d granted in a window, limit %d", got, want)
			}
			if got, want := nowMs+r.ExpiresInMs, (nowMs/5000+1)*5000; got != want {
				t.Fatalf("expires at %d, want %d", got, want)
			}
		}
	})
}

// drawCommand returns a random command. It uses few keys and IDs, so that
// commands affect each other.
func drawCommand(t *rapid.T, nowMs int64) *statepb.Command {
	key := keyAt(startMs, rapid.IntRange(0, 5).Draw(t, "key"))
	attempt := uint32(rapid.IntRange(1, 3).Draw(t, "attempt"))
	c := &statepb.Command{NowMs: nowMs}
	switch rapid.IntRange(0, 7).Draw(t, "command") {
	case 0:
		return claimCommand(nowMs, key, "a")
	case 1:
		c.Body = &statepb.Command_Resolve{Resolve: &statepb.Resolve{
			Account: "dakgoot", Key: key, Attempt: attempt, Outcome: statepb.Outcome(rapid.IntRange(2, 4).Draw(t, "outcome")),
		}}
	case 2:
		c.Body = &statepb.Command_Rebind{Rebind: &statepb.Rebind{
			Account: "dakgoot", Key: key, FromAttempt: attempt, Target: &statepb.Target{Agent: "y", Incarnation: 2, Zone: "b"},
		}}
	case 3:
		c.Body = &statepb.Command_Edit{Edit: &statepb.Edit{
			Id: key, Team: "all", Base: uint64(rapid.IntRange(0, 9).Draw(t, "base")),
			Sections: map[string]string{"routing": fmt.Sprintf("[routing]\ncandidates = %d\n", attempt)},
		}}
	case 4:
		c.Body = &statepb.Command_Grant{Grant: &statepb.Grant{Account: "dakgoot", Units: 20}}
	case 5:
		c.Body = &statepb.Command_Order{Order: &statepb.Order{Id: key, Upstream: "u", Action: "load"}}
	case 6:
		c.Body = &statepb.Command_Evacuate{Evacuate: &statepb.Evacuate{
			Zone: fmt.Sprint("z", attempt), Revoke: rapid.Bool().Draw(t, "revoke"), Seen: uint64(rapid.IntRange(0, 60).Draw(t, "seen")),
		}}
	default:
		c.Body = &statepb.Command_Sweep{Sweep: &statepb.Sweep{}}
	}
	return c
}

// A replica that is restored from snapshots between random commands returns the
// same results, and ends in the same state, as one that is never restored.
func TestSnapshotPreservesState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newMachine(t), newMachine(t)
		nowMs := startMs
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			nowMs += int64(rapid.IntRange(0, 900).Draw(t, "ms"))
			if rapid.IntRange(0, 9).Draw(t, "jump") == 0 {
				nowMs += ledger.Retention.Milliseconds() / 3
			}
			c := drawCommand(t, nowMs)
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				state, err := b.Snapshot()
				if err != nil {
					t.Fatalf("snapshot: %v", err)
				}
				if b, err = Restore(state); err != nil {
					t.Fatalf("restore: %v", err)
				}
			}
			index := uint64(i + 2)
			want := a.Apply(index, proto.Clone(c).(*statepb.Command))
			got := b.Apply(index, proto.Clone(c).(*statepb.Command))
			if !proto.Equal(want, got) {
				t.Fatalf("restored replica returns %v, want %v", got, want)
			}
		}
		sa, _ := a.Snapshot()
		sb, _ := b.Snapshot()
		if !bytes.Equal(sa, sb) {
			t.Fatalf("snapshots differ")
		}
	})
}

// Guards against a snapshot that loses the ends of starts, and against one of an earlier
// version, which has none, that cannot be loaded.
func TestSnapshotKeepsEndedStarts(t *testing.T) {
	m, err := New("")
	if err != nil {
		t.Fatal(err)
	}
	earlier, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s := &statepb.MachineState{}
	if err := proto.Unmarshal(earlier, s); err != nil {
		t.Fatal(err)
	}
	s.EndedStarts = nil
	if earlier, err = proto.Marshal(s); err != nil {
		t.Fatal(err)
	}
	if m, err = Restore(earlier); err != nil {
		t.Fatalf("snapshot of an earlier version: %v", err)
	}
	if got, want := m.EndedStarts().GetIndex(), uint64(1); got != want {
		t.Errorf("index %d after a snapshot of an earlier version, want %d", got, want)
	}
	m.Apply(2, &statepb.Command{Body: &statepb.Command_EndStart{EndStart: &statepb.EndStart{Upstream: "u", BornMs: 7}}})
	state, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if m, err = Restore(state); err != nil {
		t.Fatal(err)
	}
	if got, want := m.EndedStarts().GetUpstreams(), 1; len(got) != want || got[0].GetBeforeMs() != 8 {
		t.Errorf("ends after a restart: %v, want that of the start born at 7", got)
	}
}

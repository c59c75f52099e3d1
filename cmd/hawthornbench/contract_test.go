package main

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"hawthornhub.example/hawthornhub/internal/api/admin"
	"hawthornhub.example/hawthornhub/internal/api/caller"
	"hawthornhub.example/hawthornhub/internal/test/standin"
)

// eventLimit bounds each wait for an event.
const eventLimit = 20 * time.Second

func contractSpec() fleetSpec {
	spec := fleetSpec{controls: 3, entries: 2, zones: []string{"a", "b"}, document: documentText("")}
	for i, zone := range spec.zones {
		n := string(rune('1' + i))
		spec.upstreams = append(spec.upstreams,
			upstreamSpec{name: "booking-" + n, zone: zone, kind: "booking", slots: 4, baseUs: 20_000, fenced: i == 0},
			upstreamSpec{name: "pattern-" + n, zone: zone, kind: "generate", model: "pattern", slots: 4, baseUs: 10_000, perUnitUs: 2000},
		)
	}
	return spec
}

// TestContract runs the parts of the users' contract that need a whole fleet.
func TestContract(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, err := startFleet(t.TempDir(), contractSpec())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.stop(); err != nil {
			t.Error(err)
		}
	}()
	t.Run("bad requests change nothing", func(t *testing.T) { testBadRequests(t, f) })
	t.Run("one key through two entries", func(t *testing.T) { testOneKey(t, f) })
	t.Run("equal bases race", func(t *testing.T) { testEditRace(t, f) })
	t.Run("edit resent over a leader's death", func(t *testing.T) { testEditOverLeader(t, f) })
	t.Run("limit holds over all entries", func(t *testing.T) { testLimit(t, f) })
	t.Run("orders are fenced", func(t *testing.T) { testOrders(t, f) })
	t.Run("hang-up cancels down to the upstream", func(t *testing.T) { testHangUp(t, f) })
	t.Run("stream survives its upstream", func(t *testing.T) { testStreamFailover(t, f) })
	t.Run("leaving upstream gets nothing", func(t *testing.T) { testDrain(t, f) })
	t.Run("stopped service stops", func(t *testing.T) { testStopped(t, f) })
	t.Run("restart after many edits", func(t *testing.T) { testManyEdits(t, f) })
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func mustCall(t *testing.T, a ask) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventLimit)
	defer cancel()
	r, err := call(ctx, a)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (f *fleet) totalPaid(t *testing.T) int {
	t.Helper()
	paid, err := f.paid()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, k := range paid {
		n += k
	}
	return n
}

func testBadRequests(t *testing.T, f *fleet) {
	before := f.totalPaid(t)
	base := "http://" + f.entry(0) + "/v1/pipelines/"
	for _, c := range []struct {
		name, path, body, key, account, accountKey, deadline string
		status                                               int
		kind                                                 string
	}{
		{"not JSON", "booking", "{", newKey(), "dakgoot", keyText, "", 400, "bad_request"},
		{"unknown field", "booking", `{"inputs":"x"}`, newKey(), "dakgoot", keyText, "", 400, "bad_request"},
		{"empty", "booking", "", newKey(), "dakgoot", keyText, "", 400, "bad_request"},
		{"unknown pipeline", "nothing", `{"input":"x"}`, "", "dakgoot", keyText, "", 404, "unknown_pipeline"},
		{"oversized", "booking", `{"input":"` + strings.Repeat("x", 2<<20) + `"}`, newKey(), "dakgoot", keyText, "", 413, "too_large"},
		{"no key", "booking", `{"input":"x"}`, "", "dakgoot", keyText, "", 400, "missing_idempotency_key"},
		{"key without time", "booking", `{"input":"x"}`, "abc", "dakgoot", keyText, "", 400, "bad_request"},
		{"old key", "booking", `{"input":"x"}`, "1000000-x", "dakgoot", keyText, "", 410, "key_expired"},
		{"wrong account key", "booking", `{"input":"x"}`, newKey(), "dakgoot", "wrong", "", 401, "unauthorised"},
		{"unknown account", "booking", `{"input":"x"}`, newKey(), "nobody", keyText, "", 401, "unauthorised"},
		{"past deadline", "booking", `{"input":"x"}`, newKey(), "dakgoot", keyText, "0", 504, "deadline"},
		{"deadline not a number", "booking", `{"input":"x"}`, newKey(), "dakgoot", keyText, "soon", 400, "bad_request"},
	} {
		req, err := http.NewRequest(http.MethodPost, base+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(caller.HeaderAccount, c.account)
		req.Header.Set(caller.HeaderAccountKey, c.accountKey)
		if c.key != "" {
			req.Header.Set(caller.HeaderIdempotencyKey, c.key)
		}
		if c.deadline != "" {
			req.Header.Set(caller.HeaderDeadline, c.deadline)
		}
		resp, err := httpClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		out := reply{status: resp.StatusCode}
		err = readJSON(resp.Body, &out)
		resp.Body.Close()
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if out.status != c.status || out.refusal.Kind != c.kind || out.refusal.Remedy == "" {
			t.Errorf("%s: got %d %+v, want %d %s with a remedy", c.name, out.status, out.refusal, c.status, c.kind)
		}
	}
	if got := f.totalPaid(t); got != before {
		t.Errorf("%d paid actions after bad requests, want %d", got, before)
	}
}

func testOneKey(t *testing.T, f *fleet) {
	key := newKey()
	a := ask{account: "dakgoot", pipeline: "booking", key: key, body: caller.Body{Input: "one van"}}
	outputs := make(chan string, 6)
	for i := range cap(outputs) {
		b := a
		b.entry = f.entry(i)
		go func() {
			r, err := call(context.Background(), b)
			if err != nil {
				outputs <- err.Error()
				return
			}
			outputs <- r.answer.Output + r.refusal.Kind
		}()
	}
	first := <-outputs
	for range cap(outputs) - 1 {
		if got := <-outputs; got != first {
			t.Errorf("same key got %q and %q", first, got)
		}
	}
	paid, err := f.paid()
	if err != nil {
		t.Fatal(err)
	}
	if got, want := paid[key], 1; got != want {
		t.Errorf("paid %d times, want %d", got, want)
	}
	a.entry, a.body.Input = f.entry(0), "two vans"
	if got, want := mustCall(t, a).refusal.Kind, "key_conflict"; got != want {
		t.Errorf("same key with another input: %q, want %q", got, want)
	}
}

func (f *fleet) section(t *testing.T, name string) admin.Section {
	t.Helper()
	var d admin.Document
	if code, err := operate(f.control(0), http.MethodGet, "/v1/document?section="+name, nil, &d); err != nil || code != http.StatusOK {
		t.Fatalf("document answered %d: %v", code, err)
	}
	return d.Sections[0]
}

func testEditRace(t *testing.T, f *fleet) {
	was := f.section(t, "upstreams")
	results := make(chan admin.EditResult, 2)
	edits := make([]admin.Edit, 2)
	for i := range edits {
		edits[i] = admin.Edit{ID: newKey(), Base: was.Version, Section: "upstreams", Text: strings.Replace(was.Text, "200", "20"+string(rune('1'+i)), 1)}
		go func() {
			var out admin.EditResult
			if _, err := operate(f.control(i), http.MethodPost, "/v1/edits", edits[i], &out); err != nil {
				out.Result = err.Error()
			}
			results <- out
		}()
	}
	a, b := <-results, <-results
	if !(a.Result == "ok" && b.Result == "conflict" || a.Result == "conflict" && b.Result == "ok") {
		t.Fatalf("racing edits ended as %q and %q, want one ok and one conflict", a.Result, b.Result)
	}
	for i, e := range edits {
		var again admin.EditResult
		if _, err := operate(f.control(2), http.MethodPost, "/v1/edits", e, &again); err != nil {
			t.Fatal(err)
		}
		if again.Result != a.Result && again.Result != b.Result {
			t.Errorf("edit %d resent: %q", i, again.Result)
		}
	}
	if got := f.section(t, "upstreams").Version; got <= was.Version {
		t.Errorf("section version %d after an edit of %d", got, was.Version)
	}
}

// testEditOverLeader sends an edit while the leader is killed, and the same id
// again until it is answered: one outcome, and the document agrees with it.
func testEditOverLeader(t *testing.T, f *fleet) {
	for round := range 3 {
		if err := chooseRoles(f); err != nil {
			t.Fatal(err)
		}
		was := f.section(t, "upstreams")
		edit := admin.Edit{
			ID: newKey(), Base: was.Version, Section: "upstreams",
			Text: "[upstreams]\nlong_tokens = 30" + string(rune('0'+round)) + "\nlong_share = 0.5\n",
		}
		at := f.instances[roleNames["follower"]].http
		first := make(chan admin.EditResult, 1)
		go func() {
			var out admin.EditResult
			_, _ = operate(at, http.MethodPost, "/v1/edits", edit, &out)
			first <- out
		}()
		if err := f.kill(roleNames["leader"]); err != nil {
			t.Fatal(err)
		}
		told := []admin.EditResult{<-first}
		f.await(t, "the edit is answered again", func() bool {
			var out admin.EditResult
			if _, err := operate(at, http.MethodPost, "/v1/edits", edit, &out); err != nil || out.Result == "" {
				return false
			}
			told = append(told, out)
			return len(told) > 2
		})
		for _, out := range told {
			if out.Result != "" && out != told[len(told)-1] {
				t.Errorf("one edit id got %+v and %+v", out, told[len(told)-1])
			}
		}
		if err := f.start(roleNames["leader"]); err != nil {
			t.Fatal(err)
		}
		if err := f.waitReady(); err != nil {
			t.Fatal(err)
		}
		now := f.section(t, "upstreams")
		if got, want := now.Text == edit.Text, told[len(told)-1].Result == "ok"; got != want {
			t.Errorf("edit in the document %v, told it is %v", got, want)
		}
	}
}

// testLimit sends more than an account may, through both entries at once.
func testLimit(t *testing.T, f *fleet) {
	const requests = 300
	began := time.Now()
	kinds := make(chan string, requests)
	for i := range requests {
		go func() {
			r, err := call(context.Background(), ask{entry: f.entry(i), account: "tight", pipeline: "check", body: caller.Body{Input: "x", Tokens: 1}})
			if err != nil {
				kinds <- err.Error()
				return
			}
			kinds <- r.refusal.Kind
		}()
	}
	counts := make(map[string]int)
	for range requests {
		counts[<-kinds]++
	}
	windows := int(time.Since(began)/(5*time.Second)) + 2
	if got, most := counts[""], 50*windows; got > most || got == 0 {
		t.Errorf("%d requests served in at most %d windows of 50", got, windows)
	}
	if counts["over_limit"] == 0 {
		t.Errorf("nothing refused as over the limit: %v", counts)
	}
}

func testOrders(t *testing.T, f *fleet) {
	for _, upstream := range []string{"pattern-1", "booking-1"} {
		var last uint64
		for _, model := range []string{"m1", "m2"} {
			var out admin.OrderResult
			order := admin.Order{ID: newKey(), Upstream: upstream, Action: "version", Model: model}
			if _, err := operate(f.control(1), http.MethodPost, "/v1/orders", order, &out); err != nil {
				t.Fatal(err)
			}
			if !out.Obeyed || out.Number <= last {
				t.Errorf("%s: order %+v after number %d, want it obeyed and above", upstream, out, last)
			}
			last = out.Number
			var again admin.OrderResult
			if _, err := operate(f.control(0), http.MethodPost, "/v1/orders", order, &again); err != nil {
				t.Fatal(err)
			}
			if again.Obeyed || again.Number != out.Number {
				t.Errorf("%s: resent order got %+v, want number %d again and not obeyed twice", upstream, again, out.Number)
			}
		}
	}
}

func (f *fleet) stats(t *testing.T, agent string) standin.Stats {
	t.Helper()
	var s standin.Stats
	if _, err := operate(f.instances["standin-"+agent].http, http.MethodGet, "/v1/stats", nil, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

func (f *fleet) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventLimit)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func testHangUp(t *testing.T, f *fleet) {
	running := func() int64 { return f.stats(t, "pattern-1").Running + f.stats(t, "pattern-2").Running }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := call(ctx, ask{entry: f.entry(0), account: "calados", pipeline: "check", body: caller.Body{Input: "archive", Tokens: 3000}})
		ended <- err
	}()
	f.await(t, "the stage runs", func() bool { return running() > 0 })
	cancel()
	if err := <-ended; err == nil {
		t.Error("a call that was hung up ended without an error")
	}
	f.await(t, "the stage is cancelled at the upstream", func() bool { return running() == 0 })
}

// A stream that loses its upstream goes on elsewhere without a repeated or
// missing chunk; call checks the numbers.
func testStreamFailover(t *testing.T, f *fleet) {
	whole := mustCall(t, ask{entry: f.entry(0), account: "calados", pipeline: "check", body: caller.Body{Input: "layout", Tokens: 400, Stream: true}})
	if !whole.done() {
		t.Fatalf("stream refused: %+v", whole.refusal)
	}
	done := make(chan reply, 1)
	go func() {
		r, _ := call(context.Background(), ask{entry: f.entry(0), account: "calados", pipeline: "check", body: caller.Body{Input: "layout", Tokens: 400, Stream: true}})
		done <- r
	}()
	died := ""
	f.await(t, "an upstream streams", func() bool {
		for _, name := range []string{"pattern-1", "pattern-2"} {
			if f.stats(t, name).Running > 0 {
				died = name
			}
		}
		return died != ""
	})
	if err := f.setFault(died, standin.Fault{DieAtChunk: 20}); err != nil {
		t.Fatal(err)
	}
	<-f.instances["standin-"+died].done
	got := <-done
	if !got.done() {
		t.Fatalf("stream did not survive: %+v", got.refusal)
	}
	if got, want := strings.Join(got.chunks, ""), strings.Join(whole.chunks, ""); got != want {
		t.Errorf("resumed stream differs from the whole one")
	}
	if err := f.start("standin-" + died); err != nil {
		t.Fatal(err)
	}
}

func testDrain(t *testing.T, f *fleet) {
	f.await(t, "both booking upstreams are known", func() bool {
		r := mustCall(t, ask{entry: f.entry(0), account: "dakgoot", pipeline: "booking", key: newKey(), body: caller.Body{Input: "x"}})
		return r.done()
	})
	var d admin.Drain
	if code, err := operate(f.control(0), http.MethodPost, "/v1/drain", admin.Drain{Name: "booking-1"}, &d); err != nil || code != http.StatusOK {
		t.Fatalf("drain answered %d: %v", code, err)
	}
	runs := f.stats(t, "booking-1").Runs
	for i := range 20 {
		r := mustCall(t, ask{entry: f.entry(i), account: "dakgoot", pipeline: "booking", key: newKey(), body: caller.Body{Input: "x"}})
		if !r.done() {
			t.Errorf("call %d during the drain refused: %+v", i, r.refusal)
		}
	}
	if got := f.stats(t, "booking-1").Runs; got != runs {
		t.Errorf("a leaving upstream got %d new calls, want none", got-runs)
	}
	if err := f.restart("booking-1"); err != nil {
		t.Fatal(err)
	}
	if err := f.waitReady(); err != nil {
		t.Fatal(err)
	}
}

// insure edits the insurer's section as its team.
func (f *fleet) insure(t *testing.T, text string) admin.EditResult {
	t.Helper()
	was := f.section(t, "insurer")
	var out admin.EditResult
	edit := admin.Edit{ID: newKey(), Base: was.Version, Section: "insurer", Text: text}
	if _, err := operateAs(f.control(0), "insurance", http.MethodPost, "/v1/edits", edit, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func testStopped(t *testing.T, f *fleet) {
	was := f.section(t, "insurer")
	if got, want := f.insure(t, "[insurer]\nmax_document_age_ms = 5000\n\n[insurer.services.booking]\nstopped = true\n").Result, "ok"; got != want {
		t.Fatalf("edit %q, want %q", got, want)
	}
	a := ask{entry: f.entry(0), account: "dakgoot", pipeline: "booking", body: caller.Body{Input: "x"}}
	a.key = newKey()
	r := mustCall(t, a)
	if r.refusal.Kind != "insurer_condition" || r.refusal.Ran != "no" {
		t.Errorf("call of a stopped service: %d %+v, want insurer_condition, not run", r.status, r.refusal)
	}
	if got, want := f.insure(t, was.Text).Result, "ok"; got != want {
		t.Fatalf("edit %q, want %q", got, want)
	}
	a.key = newKey()
	if r := mustCall(t, a); !r.done() {
		t.Errorf("call of a released service refused: %+v", r.refusal)
	}
}

// testManyEdits stops a control instance and an entry, makes 500 edits, and
// times their return: one snapshot of the document, not a replay.
func testManyEdits(t *testing.T, f *fleet) {
	if err := chooseRoles(f); err != nil {
		t.Fatal(err)
	}
	away := []string{roleNames["follower"], f.entries[1]}
	for _, name := range away {
		if err := f.signal(name, syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-f.instances[name].done
	}
	at := f.liveControl()
	version := uint64(0)
	for range 500 {
		if version == 0 {
			var d admin.Document
			if _, err := operate(at, http.MethodGet, "/v1/document?section=upstreams", nil, &d); err != nil {
				t.Fatal(err)
			}
			version = d.Sections[0].Version
		}
		var out admin.EditResult
		edit := admin.Edit{ID: newKey(), Base: version, Section: "upstreams", Text: "[upstreams]\nlong_tokens = 300\nlong_share = 0.5\n# " + newKey() + "\n"}
		if _, err := operate(at, http.MethodPost, "/v1/edits", edit, &out); err != nil || out.Result != "ok" {
			t.Fatalf("edit: %+v %v", out, err)
		}
		version = out.Index
	}
	began := time.Now()
	for _, name := range away {
		if err := f.start(name); err != nil {
			t.Fatal(err)
		}
	}
	f.await(t, "the newest document is in force everywhere", func() bool {
		behind, err := f.behind(at, version)
		if err != nil || len(behind) > 0 {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), eventLimit)
		defer cancel()
		return f.waitFor(ctx, away[0]) == nil && f.waitFor(ctx, away[1]) == nil
	})
	t.Logf("in force on the restarted processes %v after their start", time.Since(began).Round(time.Millisecond))
}

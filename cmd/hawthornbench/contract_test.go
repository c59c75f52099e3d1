package main

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"hawthornhub.example/hawthornhub/internal/api/caller"
	"hawthornhub.example/hawthornhub/internal/api/operator"
	"hawthornhub.example/hawthornhub/internal/test/standin"
)

// eventTimeout limits each wait for an event.
const eventTimeout = 20 * time.Second

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

// TestContract checks the guarantees to callers, operators and upstreams that need
// a whole fleet of real processes.
func TestContract(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
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
	for _, tt := range []struct {
		name string
		run  func(*testing.T, *fleet)
	}{
		{"bad requests have no effect", testBadRequests},
		{"idempotency key is shared by all entries", testIdempotencyKey},
		{"concurrent edits with the same base version", testConcurrentEdits},
		{"edit resent during a failover", testEditDuringFailover},
		{"rate limit is enforced across entries", testRateLimit},
		{"orders are fenced", testOrderFencing},
		{"client disconnect cancels the call at the upstream", testClientDisconnect},
		{"stream resumes on another upstream", testStreamFailover},
		{"leaving upstream gets nothing", testDrain},
		{"evacuated zone gets nothing", testEvacuation},
		{"stopped service stops", testStoppedService},
		{"restart after many edits", testRestartAfterManyEdits},
	} {
		t.Run(tt.name, func(t *testing.T) {
			logsOnFailure(t, f)
			tt.run(t, f)
		})
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func mustCall(t *testing.T, r request) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	got, err := call(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func (f *fleet) totalExecutions(t *testing.T) int {
	t.Helper()
	executions, err := f.executions()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, k := range executions {
		n += k
	}
	return n
}

func testBadRequests(t *testing.T, f *fleet) {
	before := f.totalExecutions(t)
	base := "http://" + f.entry(0) + "/v1/pipelines/"
	for _, c := range []struct {
		name, path, body, key, account, accountKey, deadline string
		status                                               int
		kind                                                 string
	}{
		{"not JSON", "booking", "{", newKey(), "dakgoot", clientKey, "", 400, "bad_request"},
		{"unknown field", "booking", `{"inputs":"x"}`, newKey(), "dakgoot", clientKey, "", 400, "bad_request"},
		{"empty", "booking", "", newKey(), "dakgoot", clientKey, "", 400, "bad_request"},
		{"unknown pipeline", "nothing", `{"input":"x"}`, "", "dakgoot", clientKey, "", 404, "unknown_pipeline"},
		{"oversized", "booking", `{"input":"` + strings.Repeat("x", 2<<20) + `"}`, newKey(), "dakgoot", clientKey, "", 413, "too_large"},
		{"no key", "booking", `{"input":"x"}`, "", "dakgoot", clientKey, "", 400, "missing_idempotency_key"},
		{"key without time", "booking", `{"input":"x"}`, "abc", "dakgoot", clientKey, "", 400, "bad_request"},
		{"old key", "booking", `{"input":"x"}`, "1000000-x", "dakgoot", clientKey, "", 410, "key_expired"},
		{"wrong account key", "booking", `{"input":"x"}`, newKey(), "dakgoot", "wrong", "", 401, "unauthorised"},
		{"unknown account", "booking", `{"input":"x"}`, newKey(), "nobody", clientKey, "", 401, "unauthorised"},
		{"past deadline", "booking", `{"input":"x"}`, newKey(), "dakgoot", clientKey, "0", 504, "deadline"},
		{"deadline not a number", "booking", `{"input":"x"}`, newKey(), "dakgoot", clientKey, "soon", 400, "bad_request"},
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
			t.Errorf("%s: got status %d %+v, want %d %s with a remedy", c.name, out.status, out.refusal, c.status, c.kind)
		}
	}
	if got := f.totalExecutions(t); got != before {
		t.Errorf("%d calls executed after bad requests, want %d", got, before)
	}
}

func testIdempotencyKey(t *testing.T, f *fleet) {
	key := newKey()
	a := request{account: "dakgoot", pipeline: "booking", key: key, body: caller.Body{Input: "one van"}}
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
			outputs <- r.response.Output + r.refusal.Kind
		}()
	}
	first := <-outputs
	for range cap(outputs) - 1 {
		if got := <-outputs; got != first {
			t.Errorf("same idempotency key got %q and %q", first, got)
		}
	}
	executions, err := f.executions()
	if err != nil {
		t.Fatal(err)
	}
	if got, want := executions[key], 1; got != want {
		t.Errorf("executed %d times, want %d", got, want)
	}
	a.entry, a.body.Input = f.entry(0), "two vans"
	if got, want := mustCall(t, a).refusal.Kind, "key_conflict"; got != want {
		t.Errorf("same idempotency key with another input: got %q, want %q", got, want)
	}
}

func (f *fleet) section(t *testing.T, name string) operator.Section {
	t.Helper()
	var d operator.Document
	if code, err := callOperatorAPI(f.control(0), http.MethodGet, "/v1/document?section="+name, nil, &d); err != nil || code != http.StatusOK {
		t.Fatalf("get document: status %d: %v", code, err)
	}
	return d.Sections[0]
}

func testConcurrentEdits(t *testing.T, f *fleet) {
	before := f.section(t, "upstreams")
	results := make(chan operator.EditResult, 2)
	edits := make([]operator.Edit, 2)
	for i := range edits {
		edits[i] = operator.Edit{ID: newKey(), Base: before.Version, Section: "upstreams", Text: strings.Replace(before.Text, "200", "20"+string(rune('1'+i)), 1)}
		go func() {
			var out operator.EditResult
			if _, err := callOperatorAPI(f.control(i), http.MethodPost, "/v1/edits", edits[i], &out); err != nil {
				out.Result = err.Error()
			}
			results <- out
		}()
	}
	a, b := <-results, <-results
	if !(a.Result == "ok" && b.Result == "conflict" || a.Result == "conflict" && b.Result == "ok") {
		t.Fatalf("concurrent edits got %q and %q, want one ok and one conflict", a.Result, b.Result)
	}
	for i, e := range edits {
		var again operator.EditResult
		if _, err := callOperatorAPI(f.control(2), http.MethodPost, "/v1/edits", e, &again); err != nil {
			t.Fatal(err)
		}
		if again.Result != a.Result && again.Result != b.Result {
			t.Errorf("edit %d resent: got %q, want ok or conflict", i, again.Result)
		}
	}
	if got := f.section(t, "upstreams").Version; got <= before.Version {
		t.Errorf("section version %d after an edit of version %d, want a higher one", got, before.Version)
	}
}

// testEditDuringFailover sends an edit while the leader is killed, and resends it
// with the same ID until it gets results. All results must be equal and agree with
// the document: a resent edit must not be applied twice or get another outcome.
func testEditDuringFailover(t *testing.T, f *fleet) {
	for round := range 3 {
		if err := assignRoles(f); err != nil {
			t.Fatal(err)
		}
		before := f.section(t, "upstreams")
		edit := operator.Edit{
			ID: newKey(), Base: before.Version, Section: "upstreams",
			Text: "[upstreams]\nlong_tokens = 30" + string(rune('0'+round)) + "\nlong_share = 0.5\n",
		}
		address := f.instances[roleInstances["follower"]].http
		first := make(chan operator.EditResult, 1)
		go func() {
			var out operator.EditResult
			_, _ = callOperatorAPI(address, http.MethodPost, "/v1/edits", edit, &out)
			first <- out
		}()
		if err := f.kill(roleInstances["leader"]); err != nil {
			t.Fatal(err)
		}
		results := []operator.EditResult{<-first}
		f.await(t, "the resent edit gets a result", func() bool {
			var out operator.EditResult
			if _, err := callOperatorAPI(address, http.MethodPost, "/v1/edits", edit, &out); err != nil || out.Result == "" {
				return false
			}
			results = append(results, out)
			return len(results) > 2
		})
		for _, out := range results {
			if out.Result != "" && out != results[len(results)-1] {
				t.Errorf("same edit ID got %+v and %+v", out, results[len(results)-1])
			}
		}
		if err := f.start(roleInstances["leader"]); err != nil {
			t.Fatal(err)
		}
		if err := f.waitReady(); err != nil {
			t.Fatal(err)
		}
		now := f.section(t, "upstreams")
		if got, want := now.Text == edit.Text, results[len(results)-1].Result == "ok"; got != want {
			t.Errorf("edit is in the document: %v, reported as ok: %v", got, want)
		}
	}
}

// testRateLimit exceeds the rate limit of an account through both entries at once.
func testRateLimit(t *testing.T, f *fleet) {
	const requests = 300
	start := time.Now()
	kinds := make(chan string, requests)
	for i := range requests {
		go func() {
			r, err := call(context.Background(), request{entry: f.entry(i), account: "tight", pipeline: "check", body: caller.Body{Input: "x", Tokens: 1}})
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
	windows := int(time.Since(start)/(5*time.Second)) + 2
	if got, most := counts[""], 50*windows; got > most || got == 0 {
		t.Errorf("%d requests served in at most %d windows, want 1 to 50 per window", got, windows)
	}
	if counts["over_limit"] == 0 {
		t.Errorf("no request refused as over the limit: %v", counts)
	}
}

func testOrderFencing(t *testing.T, f *fleet) {
	for _, upstream := range []string{"pattern-1", "booking-1"} {
		var last uint64
		for _, model := range []string{"m1", "m2"} {
			var out operator.OrderResult
			order := operator.Order{ID: newKey(), Upstream: upstream, Action: "version", Model: model}
			if _, err := callOperatorAPI(f.control(1), http.MethodPost, "/v1/orders", order, &out); err != nil {
				t.Fatal(err)
			}
			if !out.Obeyed || out.Number <= last {
				t.Errorf("%s: got order %+v after number %d, want it obeyed and a higher number", upstream, out, last)
			}
			last = out.Number
			var again operator.OrderResult
			if _, err := callOperatorAPI(f.control(0), http.MethodPost, "/v1/orders", order, &again); err != nil {
				t.Fatal(err)
			}
			if again.Obeyed || again.Number != out.Number {
				t.Errorf("%s: resent order got %+v, want number %d and not obeyed again", upstream, again, out.Number)
			}
		}
	}
}

func (f *fleet) stats(t *testing.T, agent string) standin.Stats {
	t.Helper()
	var s standin.Stats
	if _, err := callOperatorAPI(f.instances["standin-"+agent].http, http.MethodGet, "/v1/stats", nil, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

func (f *fleet) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func testClientDisconnect(t *testing.T, f *fleet) {
	running := func() int64 { return f.stats(t, "pattern-1").Running + f.stats(t, "pattern-2").Running }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := call(ctx, request{entry: f.entry(0), account: "calados", pipeline: "check", body: caller.Body{Input: "archive", Tokens: 3000}})
		ended <- err
	}()
	f.await(t, "the upstream runs the stage", func() bool { return running() > 0 })
	cancel()
	if err := <-ended; err == nil {
		t.Error("a cancelled call returned no error")
	}
	f.await(t, "the upstream has cancelled the stage", func() bool { return running() == 0 })
}

// testStreamFailover checks that a stream whose upstream dies is resumed on another
// one without repeated or missing chunks; call checks the chunk numbers.
func testStreamFailover(t *testing.T, f *fleet) {
	uninterrupted := mustCall(t, request{entry: f.entry(0), account: "calados", pipeline: "check", body: caller.Body{Input: "layout", Tokens: 400, Stream: true}})
	if !uninterrupted.ok() {
		t.Fatalf("stream refused: %+v", uninterrupted.refusal)
	}
	done := make(chan reply, 1)
	go func() {
		r, _ := call(context.Background(), request{entry: f.entry(0), account: "calados", pipeline: "check", body: caller.Body{Input: "layout", Tokens: 400, Stream: true}})
		done <- r
	}()
	victim := ""
	f.await(t, "an upstream runs the stage", func() bool {
		for _, name := range []string{"pattern-1", "pattern-2"} {
			if f.stats(t, name).Running > 0 {
				victim = name
			}
		}
		return victim != ""
	})
	if err := f.setFault(victim, standin.Fault{DieAtChunk: 20}); err != nil {
		t.Fatal(err)
	}
	<-f.instances["standin-"+victim].exited
	got := <-done
	if !got.ok() {
		t.Fatalf("interrupted stream refused: %+v", got.refusal)
	}
	if got, want := strings.Join(got.chunks, ""), strings.Join(uninterrupted.chunks, ""); got != want {
		t.Errorf("resumed stream differs from the uninterrupted one")
	}
	if err := f.start("standin-" + victim); err != nil {
		t.Fatal(err)
	}
}

func testDrain(t *testing.T, f *fleet) {
	f.await(t, "a booking succeeds", func() bool {
		r := mustCall(t, request{entry: f.entry(0), account: "dakgoot", pipeline: "booking", key: newKey(), body: caller.Body{Input: "x"}})
		return r.ok()
	})
	var d operator.Drain
	if code, err := callOperatorAPI(f.control(0), http.MethodPost, "/v1/drain", operator.Drain{Name: "booking-1"}, &d); err != nil || code != http.StatusOK {
		t.Fatalf("drain: status %d: %v", code, err)
	}
	runs := f.stats(t, "booking-1").Runs
	for i := range 20 {
		r := mustCall(t, request{entry: f.entry(i), account: "dakgoot", pipeline: "booking", key: newKey(), body: caller.Body{Input: "x"}})
		if !r.ok() {
			t.Errorf("call %d during the drain refused: %+v", i, r.refusal)
		}
	}
	if got := f.stats(t, "booking-1").Runs; got != runs {
		t.Errorf("a draining upstream got %d new calls, want none", got-runs)
	}
	if err := f.restart("booking-1"); err != nil {
		t.Fatal(err)
	}
	if err := f.waitReady(); err != nil {
		t.Fatal(err)
	}
}

// testEvacuation guards against calls to a zone after its evacuation was acknowledged, against
// a refusal of calls that another zone can take, and against calls that wait when no zone is
// left.
func testEvacuation(t *testing.T, f *fleet) {
	runsIn := func(zone string) int64 {
		n := int64(0)
		for _, u := range f.spec.upstreams {
			if u.zone == zone {
				n += f.stats(t, u.name).Runs
			}
		}
		return n
	}
	order := func(method, zone string) (operator.Evacuation, int) {
		var out operator.Evacuation
		code, err := callOperatorAPI(f.control(0), method, "/v1/evacuations/"+zone, nil, &out)
		if err != nil {
			t.Fatal(err)
		}
		return out, code
	}
	book := func(i int) reply {
		return mustCall(t, request{entry: f.entry(i), account: "dakgoot", pipeline: "booking", key: newKey(), body: caller.Body{Input: "x"}})
	}
	callAll := func(n int) {
		t.Helper()
		for i := range n {
			if r := book(i); !r.ok() {
				t.Errorf("booking %d refused: %+v", i, r.refusal)
			}
			if r := mustCall(t, request{entry: f.entry(i), account: "calados", pipeline: "check", body: caller.Body{Input: "x", Tokens: 2}}); !r.ok() {
				t.Errorf("check %d refused: %+v", i, r.refusal)
			}
		}
	}
	callAll(10)
	start := time.Now()
	for range 2 {
		if out, code := order(http.MethodPost, "a"); code != http.StatusOK || !out.Evacuated || out.Index == 0 {
			t.Fatalf("evacuation: status %d, %+v", code, out)
		}
	}
	if took, limit := time.Since(start), 2*time.Second; took > limit {
		t.Errorf("two orders acknowledged after %v, want less than %v", took, limit)
	}
	runs := runsIn("a")
	callAll(20)
	if got := runsIn("a"); got != runs {
		t.Errorf("an evacuated zone got %d calls, want none", got-runs)
	}
	var status operator.Status
	if _, err := callOperatorAPI(f.control(1), http.MethodGet, "/v1/status", nil, &status); err != nil || len(status.Evacuated) != 1 || status.Evacuated[0] != "a" {
		t.Errorf("status: evacuated zones %v (%v), want [a]", status.Evacuated, err)
	}
	for name, want := range map[string]int{"nowhere": http.StatusNotFound, strings.Repeat("x", 200): http.StatusBadRequest} {
		if _, code := order(http.MethodPost, name); code != want {
			t.Errorf("evacuation of %.10s: status %d, want %d", name, code, want)
		}
	}
	if _, code := order(http.MethodPost, "b"); code != http.StatusOK {
		t.Fatalf("evacuation of the other zone: status %d", code)
	}
	start = time.Now()
	if r := book(0); r.ok() || time.Since(start) > time.Second {
		t.Errorf("without a zone: %+v after %v, want a refusal at once", r, time.Since(start))
	}
	for _, zone := range []string{"a", "b"} {
		if out, code := order(http.MethodDelete, zone); code != http.StatusOK || out.Evacuated {
			t.Fatalf("restore: status %d, %+v", code, out)
		}
	}
	f.await(t, "calls in the restored zone", func() bool {
		book(0)
		return runsIn("a") > runs
	})
}

// editInsurerSection replaces the insurer section on behalf of its team.
func (f *fleet) editInsurerSection(t *testing.T, text string) operator.EditResult {
	t.Helper()
	before := f.section(t, "insurer")
	var out operator.EditResult
	edit := operator.Edit{ID: newKey(), Base: before.Version, Section: "insurer", Text: text}
	if _, err := callOperatorAPIAs(f.control(0), "insurance", http.MethodPost, "/v1/edits", edit, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func testStoppedService(t *testing.T, f *fleet) {
	before := f.section(t, "insurer")
	if got, want := f.editInsurerSection(t, "[insurer]\nmax_document_age_ms = 5000\n\n[insurer.services.booking]\nstopped = true\n").Result, "ok"; got != want {
		t.Fatalf("edit result %q, want %q", got, want)
	}
	a := request{entry: f.entry(0), account: "dakgoot", pipeline: "booking", body: caller.Body{Input: "x"}}
	a.key = newKey()
	r := mustCall(t, a)
	if r.refusal.Kind != "insurer_condition" || r.refusal.Ran != "no" {
		t.Errorf("call of a stopped service: status %d %+v, want insurer_condition and ran no", r.status, r.refusal)
	}
	if got, want := f.editInsurerSection(t, before.Text).Result, "ok"; got != want {
		t.Fatalf("edit result %q, want %q", got, want)
	}
	a.key = newKey()
	if r := mustCall(t, a); !r.ok() {
		t.Errorf("call of a service that is no longer stopped refused: %+v", r.refusal)
	}
}

// testRestartAfterManyEdits stops a control instance and an entry, makes 500 edits,
// and checks that the restarted processes catch up in time. They fetch the current
// document and do not replay the edits.
func testRestartAfterManyEdits(t *testing.T, f *fleet) {
	if err := assignRoles(f); err != nil {
		t.Fatal(err)
	}
	stopped := []string{roleInstances["follower"], f.entries[1]}
	for _, name := range stopped {
		if err := f.signal(name, syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-f.instances[name].exited
	}
	address := f.reachableControl()
	version := uint64(0)
	for range 500 {
		if version == 0 {
			var d operator.Document
			if _, err := callOperatorAPI(address, http.MethodGet, "/v1/document?section=upstreams", nil, &d); err != nil {
				t.Fatal(err)
			}
			version = d.Sections[0].Version
		}
		var out operator.EditResult
		edit := operator.Edit{ID: newKey(), Base: version, Section: "upstreams", Text: "[upstreams]\nlong_tokens = 300\nlong_share = 0.5\n# " + newKey() + "\n"}
		if _, err := callOperatorAPI(address, http.MethodPost, "/v1/edits", edit, &out); err != nil || out.Result != "ok" {
			t.Fatalf("edit: %+v %v", out, err)
		}
		version = out.Index
	}
	start := time.Now()
	for _, name := range stopped {
		if err := f.start(name); err != nil {
			t.Fatal(err)
		}
	}
	f.await(t, "all processes have applied the newest document", func() bool {
		behind, err := f.processesBehind(address, version)
		if err != nil || len(behind) > 0 {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		return f.waitInstanceReady(ctx, stopped[0]) == nil && f.waitInstanceReady(ctx, stopped[1]) == nil
	})
	t.Logf("the restarted processes applied the document %v after their start", time.Since(start).Round(time.Millisecond))
}

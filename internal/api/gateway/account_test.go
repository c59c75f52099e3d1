package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// openDocument returns a document whose staged route allows anonymous requests. The account
// north goes before the route's priority.
func openDocument() *site.Document {
	d := document(testStages()...)
	priority := 1
	d.Accounts[0].Priority = &priority
	for i := range d.Routes {
		if d.Routes[i].Name == "staged" {
			d.Routes[i].AllowAnonymous, d.Routes[i].Priority = true, 4
		}
	}
	return d
}

// charges collects the accounts and ranks that a gateway charges a request to.
type charges struct {
	mu  sync.Mutex
	set map[string]bool
}

func (c *charges) add(what, account string, rank site.Rank) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set[fmt.Sprintf("%s %q rank %d", what, account, rank)] = true
}

// record replaces the parts of a fixture that are told of accounts.
func (c *charges) record(f *fixture) {
	f.cfg.Fair = func() bool { return true }
	f.cfg.Asked = func(job batcher.Job) { c.add("asked", job.Account, 0) }
	f.cfg.Standing = func(_, _, account string) fairshare.Standing {
		c.add("standing", account, 0)
		return fairshare.Below
	}
	f.cfg.QueueWait = func(_, _, account string, rank site.Rank) (time.Duration, time.Duration) {
		c.add("queue", account, rank)
		return 0, 0
	}
	f.runStage = func(job batcher.Job) batcher.Result {
		c.add("pieces", job.Account, job.Rank)
		return succeed(job)
	}
}

// Guards against requests with a key that take part in the order, the shares and the queues of
// pieces as nobody's because their route allows anonymous requests (review/12).
func TestOpenRouteChargesAccount(t *testing.T) {
	for _, tt := range []struct {
		name, key, account string
		rank               site.Rank
	}{
		{"key", "k", "north", 14},
		{"no key", "", "", 44},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("For", r.Header.Get("Account"))
				writeEvents(1)(w, r)
			})
			f := newFixture(t, openDocument(), u.URL)
			c := &charges{set: make(map[string]bool)}
			c.record(f)
			resp, _, err := f.call(t, "/staged/x", "Key", tt.key, "Pieces", "1,1,1")
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("got %v %v, want status 200", resp, err)
			}
			if got, want := resp.Header.Get("For"), tt.account; got != want {
				t.Errorf("it ran for account %q, want %q", got, want)
			}
			for _, what := range []string{fmt.Sprintf("asked %q rank 0", tt.account), fmt.Sprintf("queue %q rank %d", tt.account, tt.rank), fmt.Sprintf("pieces %q rank %d", tt.account, tt.rank)} {
				if !c.set[what] {
					t.Errorf("no %s among %v", what, c.set)
				}
				delete(c.set, what)
			}
			delete(c.set, fmt.Sprintf("standing %q rank 0", tt.account))
			if len(c.set) > 0 {
				t.Errorf("also charged: %v", c.set)
			}
		})
	}
}

// Guards against refusals on an open route that are counted for nobody.
func TestOpenRouteCountsRefusalsOfAccount(t *testing.T) {
	for key, account := range map[string]string{"k": "north", "": ""} {
		f := newFixture(t, openDocument(), newUpstream(t, ok).URL)
		c := &charges{set: make(map[string]bool)}
		c.record(f)
		f.cfg.QueueWait = func(string, string, string, site.Rank) (time.Duration, time.Duration) {
			return 2 * time.Second, 2 * time.Second
		}
		resp, _, err := f.call(t, "/staged/x", "Key", key, "Pieces", "1,1,1")
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("got %v %v, want status 503", resp, err)
		}
		if got, want := fmt.Sprint(f.Refusals(8)), fmt.Sprintf("[{%s capacity 1}]", account); got != want {
			t.Errorf("refusals %s, want %s", got, want)
		}
	}
}

// Guards against bodies on an open route that count against the memory of nobody, and so
// against that of all requests without a key.
func TestOpenRouteHoldsMemoryOfAccount(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-release
		ok(w, r)
	})
	d := document()
	d.Limits.BodyBytes = 0
	f := newFixture(t, d, u.URL)
	f.setMemory(1 << 20)
	answered := make(chan int, 1)
	go func() {
		resp, err := f.post("/open/x", "r1", "k", strings.NewReader(strings.Repeat("b", 600<<10)))
		if err != nil {
			t.Errorf("post: %v", err)
			answered <- 0
			return
		}
		resp.Body.Close()
		answered <- resp.StatusCode
	}()
	select {
	case <-arrived:
		// With a second account the equal share is half of the memory.
		if err := f.memory.Reserve("south", 1); err != nil {
			t.Fatal(err)
		}
		if above := f.memory.Above(1); len(above) != 1 || above[0].Account != "north" {
			t.Errorf("above their share: %v, want north", above)
		}
	case status := <-answered:
		t.Fatalf("status %d before the upstream got the request", status)
	}
	close(release)
	if got, want := <-answered, http.StatusOK; got != want {
		t.Errorf("status %d, want %d", got, want)
	}
}

// Guards against a route that allows anonymous requests and lets in one that names a key
// without being anybody's, and against keys that are asked for where no account exists.
func TestCredentials(t *testing.T) {
	const k, unknown, several = "k", "other", "k,other"
	withoutAccounts := document()
	withoutAccounts.Accounts = nil
	for _, tt := range []struct {
		name       string
		d          *site.Document
		path, key  string
		wantStatus int
		want       string
	}{
		{"open, key", document(), "/open/x", k, 200, "POST /open/x north body"},
		{"open, no key", document(), "/open/x", "", 200, "POST /open/x  body"},
		{"open, unknown key", document(), "/open/x", unknown, 401, ""},
		{"open, several keys", document(), "/open/x", several, 401, ""},
		{"key", document(), "/safe/x", k, 200, "POST /safe/x north body"},
		{"no key", document(), "/safe/x", "", 401, ""},
		{"unknown key", document(), "/safe/x", unknown, 401, ""},
		{"several keys", document(), "/safe/x", several, 401, ""},
		{"no accounts, unknown key", withoutAccounts, "/safe/x", unknown, 200, "POST /safe/x  body"},
		{"no accounts, several keys", withoutAccounts, "/open/x", several, 200, "POST /open/x  body"},
		{"no accounts, no key", withoutAccounts, "/safe/x", "", 200, "POST /safe/x  body"},
	} {
		u := newUpstream(t, ok)
		f := newFixture(t, tt.d, u.URL)
		resp, body, err := f.call(t, tt.path, "Key", tt.key)
		if err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		if got, want := resp.StatusCode, tt.wantStatus; got != want {
			t.Errorf("%s: status %d, want %d", tt.name, got, want)
		}
		if tt.want != "" && body != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, body, tt.want)
		}
		if got := u.runs.Load(); tt.wantStatus != 200 && got != 0 {
			t.Errorf("%s: it ran %d times", tt.name, got)
		}
	}
}

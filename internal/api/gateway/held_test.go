package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/serve/membudget"
)

// setMemory gives the gateway a memory budget for two accounts.
func (f *fixture) setMemory(limit int64) {
	f.memory = membudget.New(limit)
	f.memory.SetAccounts(2)
}

// awaitMemoryFree fails the test if memory is still held a second after the last request.
func (f *fixture) awaitMemoryFree(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(time.Second); f.memory.Used() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still held, want 0", f.memory.Used())
		}
	}
}

// Guards against bodies that are cut, changed or not counted, whatever their length and
// however they arrive.
func TestBodiesAreReadWholeAndCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("b"), rapid.IntRange(0, 200<<10).Draw(t, "bytes"))
		limit := rapid.Int64Range(1, 200<<10).Draw(t, "limit")
		length := int64(len(body))
		if rapid.Bool().Draw(t, "chunked") {
			length = -1
		} else {
			limit = max(limit, length)
		}
		r := io.Reader(bytes.NewReader(body))
		if rapid.Bool().Draw(t, "halves") {
			r = iotest.HalfReader(r)
		}
		b := membudget.New(rapid.Int64Range(0, 1<<20).Draw(t, "memory"))
		hold := b.Hold("a")
		got, err := readBody(r, length, limit, hold)
		var full *membudget.FullError
		switch {
		case errors.As(err, &full):
		case int64(len(body)) > limit:
			if !errors.Is(err, errBodyTooLarge) {
				t.Fatalf("error %v, want errBodyTooLarge", err)
			}
		case err != nil || !bytes.Equal(got, body):
			t.Fatalf("got %d bytes and error %v, want %d", len(got), err, len(body))
		case b.Used() != int64(cap(got)):
			t.Fatalf("%d bytes count, want %d", b.Used(), cap(got))
		}
		hold.Close()
		if b.Used() != 0 {
			t.Fatalf("%d bytes are left, want 0", b.Used())
		}
	})
}

// Guards against an entry that reads bodies of the maximal size until it has no memory
// left: those without room are refused with a 503, and have not run.
func TestBodiesPastMemoryAreRefused(t *testing.T) {
	const (
		callers     = 80
		memoryBytes = 16 << 20
		// overheadBytes allows for buffers of connections on both sides.
		overheadBytes = 24 << 20
	)
	arrived := make(chan struct{}, callers)
	release := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-release
		fmt.Fprint(w, n)
	})
	d := document()
	d.Limits.BodyBytes = defaultMaxBodyBytes
	f := newFixture(t, d, u.URL)
	f.setMemory(memoryBytes)
	body := strings.Repeat("b", defaultMaxBodyBytes)
	runtime.GC()
	var before, during runtime.MemStats
	runtime.ReadMemStats(&before)
	var served, refused atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			resp, err := f.post("/once/x", fmt.Sprint("r", i), "k", strings.NewReader(body))
			if err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
			defer resp.Body.Close()
			switch {
			case resp.StatusCode == http.StatusOK:
				served.Add(1)
			case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
				refused.Add(1)
			default:
				t.Errorf("request %d: status %d, Retry-After %q; want 200, or 503 with the header", i, resp.StatusCode, resp.Header.Get("Retry-After"))
			}
		})
	}
	for range 3 {
		<-arrived
	}
	for end := time.Now().Add(time.Second); refused.Load() < callers-3 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	runtime.GC()
	runtime.ReadMemStats(&during)
	close(release)
	wg.Wait()
	if got, want := served.Load(), u.runs.Load(); got != want || got == 0 {
		t.Errorf("%d requests were answered, want the %d that ran, and some", got, want)
	}
	if got, want := int64(during.HeapAlloc)-int64(before.HeapAlloc), int64(memoryBytes+overheadBytes); got > want {
		t.Errorf("the heap grew by %d bytes, want %d at most", got, want)
	}
	f.awaitMemoryFree(t)
	if resp, err := f.post("/once/x", "last", "k", strings.NewReader(body)); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("after all have ended: %v, %v; want status 200", resp, err)
	}
}

// post sends a request with a body.
func (f *fixture) post(path, id, key string, body io.Reader) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, f.url+path, body)
	if err != nil {
		return nil, err
	}
	r.Host = "a.example"
	r.Header = http.Header{"Id": {id}, "Key": {key}}
	return http.DefaultTransport.RoundTrip(r)
}

// Guards against a refusal that comes only after the body has been sent, and against a
// body of unknown length that is read past what is free.
func TestBodyIsRefusedBeforeItIsSent(t *testing.T) {
	for name, text := range map[string]string{
		"known length": "Content-Length: 4000000\r\n\r\n",
		"chunked":      "Transfer-Encoding: chunked\r\n\r\n10000\r\n" + strings.Repeat("b", 0x10000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, ok)
			d := document()
			d.Limits.BodyBytes = defaultMaxBodyBytes
			f := newFixture(t, d, u.URL)
			f.setMemory(64 << 10)
			f.cfg.Fair = func() bool { return true }
			c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(time.Second))
			io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: a.example\r\nKey: k\r\nId: r1\r\n"+text)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("no answer while the body is incomplete: %v", err)
			}
			if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
				t.Errorf("status %d, want %d", got, want)
			}
			if got := u.runs.Load(); got != 0 {
				t.Errorf("the request ran %d times, want 0", got)
			}
			if got := f.Refusals(1); len(got) != 0 {
				t.Errorf("%v counts as refused for lack of capacity, want none", got)
			}
			f.awaitMemoryFree(t)
		})
	}
}

// Guards against bodies that go on to one upstream, which ends when they exceed its memory,
// while another holds none.
func TestBodiesGoToUpstreamBelowItsShare(t *testing.T) {
	first, second := newUpstream(t, ok), newUpstream(t, ok)
	f := newFixture(t, document(), first.URL, second.URL)
	f.setMemory(1 << 20)
	for _, loaded := range []string{"u0", "u1"} {
		f.bodies.Add(loaded, 1<<19)
		before := []int64{first.runs.Load(), second.runs.Load()}
		for i := range 8 {
			if resp, _, err := f.call(t, "/once/x", "Id", fmt.Sprint(loaded, i)); err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("request %d: %v, %v; want status 200", i, resp, err)
			}
		}
		at := int64(0)
		if loaded == "u0" {
			at = first.runs.Load() - before[0]
		} else {
			at = second.runs.Load() - before[1]
		}
		if at != 0 {
			t.Errorf("%d bodies went to %s, which holds its share; want 0", at, loaded)
		}
		f.bodies.Add(loaded, -1<<19)
	}
	for _, id := range []string{"u0", "u1"} {
		if got := f.bodies.Bytes(id); got != 0 {
			t.Errorf("%d bytes count at %s after all requests, want 0", got, id)
		}
	}
}

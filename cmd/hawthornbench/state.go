package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"hawthornhub.example/hawthornhub/internal/api/operator"
	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

func stateCommand(app *kingpin.Application) command {
	clause := app.Command("state", "Measure the throughput of claims relative to disk syncs, the duration of a failover, and the time until all processes apply an edit.")
	callers := clause.Flag("callers", "Number of concurrent callers that make claims.").Default("512").Int()
	rounds := clause.Flag("rounds", "Number of failovers and of edits to measure.").Default("5").Int()
	return command{clause: clause, run: func() error {
		return withFleet(matrixSpec(), func(f *fleet) error { return runState(f, *callers, *rounds) })
	}}
}

func runState(f *fleet, callers, rounds int) error {
	if _, err := measureClaims(f, callers, 4*time.Second); err != nil {
		return err
	}
	if err := measureEdits(f, rounds, "all control instances up"); err != nil {
		return err
	}
	if err := measureFailover(f, rounds); err != nil {
		return err
	}
	return measureEditsDuringPartition(f, rounds)
}

// controlClient returns a client that is connected directly to the control
// instances, and a function that closes it.
func (f *fleet) controlClient() (*control.Client, func()) {
	pool := link.NewPool(link.PoolConfig{Local: link.Local{Name: "bench"}, Auth: link.Auth{Key: []byte(fleetKey)}})
	var peers []control.Address
	for _, c := range f.controls {
		peers = append(peers, control.Address{Name: c, Link: f.instances[c].link})
	}
	return control.NewClient(control.ClientConfig{Pool: pool, Peers: peers}), func() { _ = pool.Close() }
}

// benchClaim returns a claim with a new idempotency key.
func benchClaim() *statepb.Command {
	return &statepb.Command{Body: &statepb.Command_Claim{Claim: &statepb.Claim{
		Account: "dakgoot", Key: uuid.Must(uuid.NewV7()).String(), Service: "booking", Owner: "bench/1", Request: "bench",
		Digest: make([]byte, 32), Target: &statepb.Target{Agent: "none", Incarnation: 1, Zone: "a"},
	}}}
}

// rawSyncRate returns how many small appends per second can be synced to the disk
// of a directory.
func rawSyncRate(dir string) (float64, error) {
	file, err := os.Create(filepath.Join(dir, "raw-sync"))
	if err != nil {
		return 0, err
	}
	defer file.Close()
	start := time.Now()
	n := 0
	for ; time.Since(start) < time.Second; n++ {
		if _, err := file.Write(make([]byte, 256)); err != nil {
			return 0, err
		}
		if err := file.Sync(); err != nil {
			return 0, err
		}
	}
	return float64(n) / time.Since(start).Seconds(), nil
}

// claimCost is the cost of a claim: CPU time in microseconds at the leader and at a
// follower, and memory in bytes at the leader.
type claimCost struct {
	callers    int
	perSecond  float64
	leaderUs   float64
	followerUs float64
	bytes      float64
}

// measureClaims runs concurrent callers, each of which makes one claim after another,
// and prints the throughput and the cost of a claim.
func measureClaims(f *fleet, callers int, length time.Duration) (claimCost, error) {
	out := claimCost{callers: callers}
	raw, err := rawSyncRate(f.dir)
	if err != nil {
		return out, err
	}
	leader, err := f.leader()
	if err != nil {
		return out, err
	}
	if err := assignRoles(f); err != nil {
		return out, err
	}
	before, err := f.usageOf(leader)
	if err != nil {
		return out, err
	}
	followerBefore, err := f.usageOf(roleInstances["follower"])
	if err != nil {
		return out, err
	}
	client, done := f.controlClient()
	defer done()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var claims atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				if r, err := client.Propose(ctx, benchClaim()); err == nil && r.Kind == statepb.ResultKind_RESULT_KIND_OK {
					claims.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	n := float64(claims.Load())
	out.perSecond = n / time.Since(start).Seconds()
	after, err := f.usageOf(leader)
	if err != nil {
		return out, err
	}
	followerAfter, err := f.usageOf(roleInstances["follower"])
	if err != nil {
		return out, err
	}
	out.leaderUs = float64((after.cpu - before.cpu).Microseconds()) / n
	out.followerUs = float64((followerAfter.cpu - followerBefore.cpu).Microseconds()) / n
	out.bytes = float64(after.rss-before.rss) / n
	fmt.Printf("claims: %d callers, %.0f a second; raw syncs of the folder %.0f a second; %.1f claims a raw sync; processor time a claim: leader %.0f us, follower %.0f us; leader's memory grew by %.0f bytes a claim\n",
		callers, out.perSecond, raw, out.perSecond/raw, out.leaderUs, out.followerUs, out.bytes)
	return out, nil
}

// measureFailover measures the time from killing the leader to the next committed
// claim.
func measureFailover(f *fleet, rounds int) error {
	client, done := f.controlClient()
	defer done()
	var times []time.Duration
	for range rounds {
		for _, name := range f.controls {
			if err := f.waitVoter(name); err != nil {
				return err
			}
		}
		leader, err := f.leader()
		if err != nil {
			return err
		}
		if err := f.kill(leader); err != nil {
			return err
		}
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), readyWait)
		_, err = client.Propose(ctx, benchClaim())
		cancel()
		if err != nil {
			return err
		}
		times = append(times, time.Since(start))
		if err := errors.Join(f.start(leader), f.waitReady()); err != nil {
			return err
		}
	}
	printTimes("leader killed to next committed claim", times)
	return nil
}

func printTimes(what string, times []time.Duration) {
	slices.Sort(times)
	fmt.Printf("%s: median %v, least %v, most %v, %d times\n", what,
		times[len(times)/2].Round(time.Millisecond), times[0].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond), len(times))
}

// measureEdits measures the time from the acceptance of an edit until every process
// has applied it.
func measureEdits(f *fleet, rounds int, condition string) error {
	var times []time.Duration
	for range rounds {
		duration, err := f.timeEdit()
		if err != nil {
			return err
		}
		times = append(times, duration)
	}
	printTimes("edit accepted to in force on every process, "+condition, times)
	return nil
}

// reachableControl returns the HTTP address of a control instance that responds.
func (f *fleet) reachableControl() string {
	for i := range f.controls {
		var s operator.Status
		if code, err := callOperatorAPI(f.control(i), http.MethodGet, "/v1/status", nil, &s); err == nil && code == http.StatusOK {
			return f.control(i)
		}
	}
	return f.control(0)
}

// timeEdit makes an edit and returns the time until every process that responds has
// applied it.
func (f *fleet) timeEdit() (time.Duration, error) {
	address := f.reachableControl()
	var d operator.Document
	if _, err := callOperatorAPI(address, http.MethodGet, "/v1/document?section=upstreams", nil, &d); err != nil {
		return 0, err
	}
	edit := operator.Edit{
		ID: uuid.NewString(), Base: d.Sections[0].Version, Section: "upstreams",
		Text: fmt.Sprintf("[upstreams]\nlong_tokens = %d\nlong_share = 0.5\n", 200+d.Index%100),
	}
	var out operator.EditResult
	code, err := callOperatorAPI(address, http.MethodPost, "/v1/edits", edit, &out)
	if err != nil || code != http.StatusOK {
		return 0, fmt.Errorf("edit: status %d, %+v: %w", code, out, err)
	}
	start := time.Now()
	for time.Since(start) < readyWait {
		behind, err := f.processesBehind(address, out.Index)
		if err != nil {
			return 0, err
		}
		if len(behind) == 0 {
			return time.Since(start), nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return 0, errors.New("not every process applied the edit in time")
}

// processesBehind returns the processes whose document is older than an index.
func (f *fleet) processesBehind(address string, index uint64) ([]string, error) {
	var s operator.Status
	code, err := callOperatorAPI(address, http.MethodGet, "/v1/status", nil, &s)
	if err != nil || code != http.StatusOK {
		return nil, fmt.Errorf("query status: status %d: %w", code, err)
	}
	var out []string
	for _, p := range s.Processes {
		if p.Document < index {
			out = append(out, p.Name)
		}
	}
	return out, nil
}

// measureEditsDuringPartition runs measureEdits while one control instance is
// suspended, as if a network partition dropped its traffic.
func measureEditsDuringPartition(f *fleet, rounds int) error {
	if err := assignRoles(f); err != nil {
		return err
	}
	suspended := roleInstances["follower"]
	if err := f.signal(suspended, sigStop); err != nil {
		return err
	}
	defer func() { _ = f.signal(suspended, sigCont) }()
	return measureEdits(f, rounds, "one control instance silent ("+strings.TrimPrefix(suspended, "control-")+")")
}

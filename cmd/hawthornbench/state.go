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

	"hawthornhub.example/hawthornhub/internal/api/admin"
	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

func stateCommand(app *kingpin.Application) command {
	clause := app.Command("state", "Measure claims a second against syncs a second, the time without a leader, and the time until an edit is in force.")
	callers := clause.Flag("callers", "Callers that claim at once.").Default("512").Int()
	rounds := clause.Flag("rounds", "Leaders killed and edits made.").Default("5").Int()
	return command{clause: clause, run: func() error {
		return inFleet(matrixSpec(), func(f *fleet) error { return runState(f, *callers, *rounds) })
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
	return measureEditsCutOff(f, rounds)
}

// ledgerClient returns a client that speaks to the control instances directly.
func (f *fleet) ledgerClient() (*control.Client, func()) {
	pool := link.NewPool(link.PoolConfig{Local: link.Local{Name: "bench"}, Auth: link.Auth{Key: []byte(fleetKey)}})
	var peers []control.Address
	for _, c := range f.controls {
		peers = append(peers, control.Address{Name: c, Link: f.instances[c].link})
	}
	return control.NewClient(control.ClientConfig{Pool: pool, Peers: peers}), func() { _ = pool.Close() }
}

func benchClaim() *statepb.Command {
	return &statepb.Command{Body: &statepb.Command_Claim{Claim: &statepb.Claim{
		Account: "dakgoot", Key: uuid.Must(uuid.NewV7()).String(), Service: "booking", Owner: "bench/1", Request: "bench",
		Digest: make([]byte, 32), Target: &statepb.Target{Agent: "none", Incarnation: 1, Zone: "a"},
	}}}
}

// rawSyncs returns how many small appends a second the folder can make
// lasting.
func rawSyncs(dir string) (float64, error) {
	file, err := os.Create(filepath.Join(dir, "raw-sync"))
	if err != nil {
		return 0, err
	}
	defer file.Close()
	began := time.Now()
	n := 0
	for ; time.Since(began) < time.Second; n++ {
		if _, err := file.Write(make([]byte, 256)); err != nil {
			return 0, err
		}
		if err := file.Sync(); err != nil {
			return 0, err
		}
	}
	return float64(n) / time.Since(began).Seconds(), nil
}

// claimCost is what a claim costs at the leader and a follower.
type claimCost struct {
	callers   int
	perSecond float64
	leaderUs  float64
	followUs  float64
	bytes     float64
}

// measureClaims lets callers claim as fast as they can.
func measureClaims(f *fleet, callers int, length time.Duration) (claimCost, error) {
	out := claimCost{callers: callers}
	raw, err := rawSyncs(f.dir)
	if err != nil {
		return out, err
	}
	leader, err := f.leader()
	if err != nil {
		return out, err
	}
	if err := chooseRoles(f); err != nil {
		return out, err
	}
	before, err := f.usageOf(leader)
	if err != nil {
		return out, err
	}
	followBefore, err := f.usageOf(roleNames["follower"])
	if err != nil {
		return out, err
	}
	client, done := f.ledgerClient()
	defer done()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var claims atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
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
	out.perSecond = n / time.Since(began).Seconds()
	after, err := f.usageOf(leader)
	if err != nil {
		return out, err
	}
	followAfter, err := f.usageOf(roleNames["follower"])
	if err != nil {
		return out, err
	}
	out.leaderUs = float64((after.cpu - before.cpu).Microseconds()) / n
	out.followUs = float64((followAfter.cpu - followBefore.cpu).Microseconds()) / n
	out.bytes = float64(after.rss-before.rss) / n
	fmt.Printf("claims: %d callers, %.0f a second; raw syncs of the folder %.0f a second; %.1f claims a raw sync; processor time a claim: leader %.0f us, follower %.0f us; leader's memory grew by %.0f bytes a claim\n",
		callers, out.perSecond, raw, out.perSecond/raw, out.leaderUs, out.followUs, out.bytes)
	return out, nil
}

// measureFailover kills the leader and times the next committed claim.
func measureFailover(f *fleet, rounds int) error {
	client, done := f.ledgerClient()
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
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), readyWait)
		_, err = client.Propose(ctx, benchClaim())
		cancel()
		if err != nil {
			return err
		}
		times = append(times, time.Since(began))
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

// measureEdits times edits from their acceptance until every process has them.
func measureEdits(f *fleet, rounds int, scene string) error {
	var times []time.Duration
	for range rounds {
		took, err := f.editEverywhere()
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	printTimes("edit accepted to in force on every process, "+scene, times)
	return nil
}

// liveControl returns the address of a control instance that answers.
func (f *fleet) liveControl() string {
	for i := range f.controls {
		var s admin.Status
		if code, err := operate(f.control(i), http.MethodGet, "/v1/status", nil, &s); err == nil && code == http.StatusOK {
			return f.control(i)
		}
	}
	return f.control(0)
}

// editEverywhere makes an edit and waits until every process that answers
// acts under it.
func (f *fleet) editEverywhere() (time.Duration, error) {
	at := f.liveControl()
	var d admin.Document
	if _, err := operate(at, http.MethodGet, "/v1/document?section=upstreams", nil, &d); err != nil {
		return 0, err
	}
	edit := admin.Edit{
		ID: uuid.NewString(), Base: d.Sections[0].Version, Section: "upstreams",
		Text: fmt.Sprintf("[upstreams]\nlong_tokens = %d\nlong_share = 0.5\n", 200+d.Index%100),
	}
	var out admin.EditResult
	code, err := operate(at, http.MethodPost, "/v1/edits", edit, &out)
	if err != nil || code != http.StatusOK {
		return 0, fmt.Errorf("edit answered %d %+v: %w", code, out, err)
	}
	began := time.Now()
	for time.Since(began) < readyWait {
		behind, err := f.behind(at, out.Index)
		if err != nil {
			return 0, err
		}
		if len(behind) == 0 {
			return time.Since(began), nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return 0, errors.New("the edit did not come into force everywhere")
}

func (f *fleet) behind(at string, index uint64) ([]string, error) {
	var s admin.Status
	code, err := operate(at, http.MethodGet, "/v1/status", nil, &s)
	if err != nil || code != http.StatusOK {
		return nil, fmt.Errorf("status answered %d: %w", code, err)
	}
	var out []string
	for _, p := range s.Processes {
		if p.Document < index {
			out = append(out, p.Name)
		}
	}
	return out, nil
}

// measureEditsCutOff times edits while one control instance is frozen, as one
// that a silent partition has cut off.
func measureEditsCutOff(f *fleet, rounds int) error {
	if err := chooseRoles(f); err != nil {
		return err
	}
	cut := roleNames["follower"]
	if err := f.signal(cut, sigStop); err != nil {
		return err
	}
	defer func() { _ = f.signal(cut, sigCont) }()
	return measureEdits(f, rounds, "one control instance silent ("+strings.TrimPrefix(cut, "control-")+")")
}

package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { scenes["many-stages"] = manyStages }

type object = map[string]any

// document returns a configuration with a plain route and one with stages.
func document(version int, stages []object) object {
	engine := object{"slots": 64, "kv-capacity-tokens": 736921, "kv-token-bytes": 35136}
	pieces := object{"slots": 1, "queue": 2, "batch": 18, "call-ms": 20, "item-ms": 1, "room-mb": 22, "handle-s": 4, "link-mbps": 10000}
	return object{
		"version": version,
		"routes": []object{
			{"name": "plan", "host": "plan.example", "path-prefix": "/plan/", "kind": "streaming", "timeout-ms": 6000, "slo-ms": 2200, "priority": 1, "service": "engine", "max-attempts": 1, "stages": stages, "allow-anonymous": true, "sticky": true, "resumable": false, "gap-aim-ms": 400},
			{"name": "status", "host": "status.example", "path-prefix": "/status/", "kind": "safe", "timeout-ms": 2000, "slo-ms": 300, "priority": 2, "service": "api", "max-attempts": 2, "allow-anonymous": true},
		},
		"services": []object{
			{"name": "engine", "health-path": "/health", "max-connections": 280, "protocol": "h1", "tls": false, "engine": engine},
			{"name": "portal", "health-path": "/health", "max-connections": 280, "protocol": "h1", "tls": false, "pieces": pieces},
			{"name": "api", "health-path": "/health", "max-connections": 54, "protocol": "h1", "tls": false},
		},
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// withStagedRoute returns a document with one more route, which has stages.
func withStagedRoute(version int, stages []object) object {
	d := document(version, nil)
	d["routes"] = append(d["routes"].([]object), object{
		"name": "staged", "host": "staged.example", "path-prefix": "/staged/", "kind": "streaming", "timeout-ms": 6000,
		"slo-ms": 2200, "priority": 1, "service": "engine", "max-attempts": 1, "stages": stages, "allow-anonymous": true,
		"sticky": true, "resumable": false, "gap-aim-ms": 400,
	})
	return d
}

// chain returns n stages, each of which needs the results of the stage before it, or of all
// stages before it.
func chain(n int, all bool) []object {
	var out []object
	for i := range n {
		after := []int{}
		for j := range i {
			if all || j == i-1 {
				after = append(after, j)
			}
		}
		out = append(out, object{"service": "portal", "after": after, "bytes": 1000})
	}
	return out
}

// stageCount is the number of stages of the route.
const stageCount = 20

const (
	// planTimeout is the timeout-ms of the route with stages, statusTimeout that of the other.
	planTimeout   = 6 * time.Second
	statusTimeout = 2 * time.Second
	// answerSlack is how long after it a request may be unanswered.
	answerSlack = 500 * time.Millisecond
	// planRate and statusRate are the requests a second of route-plan and status-lees.
	planRate, statusRate = 18, 6
	// loadTime is how long requests are sent.
	loadTime = 8 * time.Second
)

// tally counts answers by kind.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(kind string, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case errors.Is(a.err, os.ErrDeadlineExceeded):
		t.counts[kind+" unanswered"]++
	case a.err != nil:
		t.counts[kind+" error"]++
	default:
		t.counts[fmt.Sprint(kind, " ", a.status)]++
	}
	t.counts[kind+" sent"]++
}

func (t *tally) get(kind string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[kind]
}

func sendPlan(f *fleet, i int) answer {
	h := map[string]string{
		"Hawthornhub-Time-Left-Ms": "15000", "Hawthornhub-Token-Counts": "100,24", "Hawthornhub-Model": "m",
		"Hawthornhub-Prompt-Prefix": "a1:80,b2:20", "Hawthornhub-Piece-Key": newID(),
		"Hawthornhub-Pieces": strings.TrimSuffix(strings.Repeat("1,", stageCount), ","),
	}
	return f.request(i%f.gateways, "POST", "staged.example", "/staged/x", h, "prompt", planTimeout+answerSlack)
}

func sendStatus(f *fleet, i int) answer {
	h := map[string]string{"Hawthornhub-Time-Left-Ms": "4000"}
	return f.request(i%f.gateways, "GET", "status.example", "/status/x", h, "", statusTimeout+answerSlack)
}

// load sends requests at a rate for a time, and returns once all have ended.
func load(rate int, length time.Duration, send func(i int)) {
	var wg sync.WaitGroup
	for i := range int(length.Seconds() * float64(rate)) {
		wg.Go(func() { send(i) })
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
}

func manyStages(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	for i := range 3 {
		for _, s := range []*server{
			f.newServer(fmt.Sprintf("i-engine%d", i), "engine", zoneOf(i), 64),
			f.newServer(fmt.Sprintf("i-portal%d", i), "portal", zoneOf(i), 1),
			f.newServer(fmt.Sprintf("i-api%d", i), "api", zoneOf(i), 6),
		} {
			if err := s.start(""); err != nil {
				return false, err
			}
		}
	}
	if _, err := f.putConfig(document(7, nil)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	// The configuration adds a route. With the disruption, each of its stages reads the results
	// of all before it.
	if _, err := f.putConfig(withStagedRoute(9, chain(stageCount, trouble))); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	during, after := &tally{counts: map[string]int{}}, &tally{counts: map[string]int{}}
	var wg sync.WaitGroup
	wg.Go(func() { load(planRate, loadTime, func(i int) { during.add("plan", sendPlan(f, i)) }) })
	wg.Go(func() { load(statusRate, loadTime, func(i int) { during.add("status", sendStatus(f, i)) }) })
	wg.Wait()
	r.add("under load: %v", during.counts)
	// All clients have left. Nobody sends to the route any more.
	time.Sleep(5 * time.Second)
	load(statusRate, 5*time.Second, func(i int) { after.add("status", sendStatus(f, i)) })
	r.add("5 s after the last client has left: %v", after.counts)
	fmt.Println("under load", during.counts, "after", after.counts)
	unanswered := during.get("plan unanswered")
	if !trouble && 2*during.get("plan 200") < during.get("plan sent") {
		return false, errors.New("the fleet doesn't serve the route with a plain chain of stages")
	}
	return unanswered >= 8 && 4*unanswered > during.get("plan sent"), nil
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"hawthornhub.example/hawthornhub/internal/api/admin"
	"hawthornhub.example/hawthornhub/internal/api/caller"
	"hawthornhub.example/hawthornhub/internal/serve/refuse"
	"hawthornhub.example/hawthornhub/internal/test/standin"
)

// verdict is how one cell of the matrix ended.
type verdict struct {
	fault  string
	step   string
	held   bool
	detail string
	took   time.Duration
}

// cell is one fault at one step of a once-only call. Fault is carried out
// while the call is at the step.
type cell struct {
	fault string
	step  string
	// upstream is what the stand-ins are told to do before the call.
	upstream standin.Fault
	// strike carries the fault out; agent is the one that has the call.
	strike func(f *fleet, agent string) error
	// mend undoes the fault.
	mend func(f *fleet, agent string) error
	// allow are the words a caller may be given in the end.
	allow []refuse.Ran
}

const (
	// serviceUs is long enough for a fault to strike while a call runs.
	serviceUs = 400_000
	// strikeAfter is when the fault strikes a call that is running.
	strikeAfter = 150 * time.Millisecond
	// settleWait is how long a caller goes on asking for the last word.
	settleWait = 40 * time.Second
)

func matrixCommand(app *kingpin.Application) command {
	clause := app.Command("matrix", "Cause faults at the steps of a once-only call and hold the answers against the stand-ins' record.")
	only := clause.Flag("only", "Only cells whose fault or step contains this.").String()
	return command{clause: clause, run: func() error {
		return inFleet(matrixSpec(), func(f *fleet) error { return runMatrix(f, *only) })
	}}
}

func matrixSpec() fleetSpec {
	zones := []string{"a", "b"}
	spec := fleetSpec{controls: 3, entries: 2, zones: zones, document: documentText("")}
	for i, zone := range zones {
		spec.upstreams = append(spec.upstreams, upstreamSpec{
			name: fmt.Sprintf("booking-%d", i+1), zone: zone, kind: "booking", slots: 8, baseUs: serviceUs,
		})
	}
	return spec
}

func runMatrix(f *fleet, only string) error {
	var broken []string
	for _, c := range matrixCells() {
		if only != "" && !strings.Contains(c.fault+" "+c.step, only) {
			continue
		}
		v := runCell(f, c)
		word := "held"
		if !v.held {
			word = "BROKEN"
			broken = append(broken, c.fault+" "+c.step)
		}
		fmt.Printf("%-28s %-26s %-7s %6.2f s  %s\n", v.fault, v.step, word, v.took.Seconds(), v.detail)
	}
	if len(broken) > 0 {
		return fmt.Errorf("broken: %s", strings.Join(broken, "; "))
	}
	return nil
}

// matrixCells are the faults that strike a once-only call.
func matrixCells() []cell {
	done := []refuse.Ran{refuse.RanYes}
	whatever := []refuse.Ran{refuse.RanYes, refuse.RanNo, refuse.RanUnknown}
	none := func(*fleet, string) error { return nil }
	restart := func(name string) func(*fleet, string) error {
		return func(f *fleet, agent string) error { return f.restart(nameFor(name, agent)) }
	}
	kill := func(name string) func(*fleet, string) error {
		return func(f *fleet, agent string) error { return f.kill(nameFor(name, agent)) }
	}
	freeze := func(name string, sig syscall.Signal) func(*fleet, string) error {
		return func(f *fleet, agent string) error { return f.signal(nameFor(name, agent), sig) }
	}
	cells := []cell{
		{fault: "none", step: "whole call", strike: none, mend: none, allow: done},
		{fault: "upstream dies", step: "before the paid action", upstream: standin.Fault{DieBefore: true}, strike: none, mend: restart("standin"), allow: whatever},
		{fault: "upstream dies", step: "after the paid action", upstream: standin.Fault{DieAfter: true}, strike: none, mend: restart("standin"), allow: whatever},
		{fault: "upstream drops its answer", step: "upstream done", upstream: standin.Fault{DropAnswer: true}, strike: none, mend: none, allow: whatever},
		{fault: "upstream stalls", step: "before the paid action", upstream: standin.Fault{StallBefore: true}, strike: none, mend: none, allow: whatever},
		{fault: "upstream stalls", step: "after the paid action", upstream: standin.Fault{StallAfter: true}, strike: none, mend: none, allow: whatever},
	}
	for _, role := range []string{"agent", "entry", "leader", "follower", "standin"} {
		cells = append(cells,
			cell{fault: "kill -9 " + role, step: "running", strike: kill(role), mend: restart(role), allow: whatever},
			cell{fault: "SIGTERM " + role, step: "running", strike: freeze(role, syscall.SIGTERM), mend: restart(role), allow: termAllow(role)},
			cell{fault: "freeze and thaw " + role, step: "running", strike: freeze(role, syscall.SIGSTOP), mend: freeze(role, syscall.SIGCONT), allow: whatever},
		)
	}
	return append(cells,
		cell{fault: "lost disk " + "follower", step: "running", strike: loseDisk("follower"), mend: restart("follower"), allow: whatever},
		cell{fault: "lost disk " + "leader", step: "running", strike: loseDisk("leader"), mend: restart("leader"), allow: whatever},
		cell{fault: "lost disk, then a second", step: "right after the repair", strike: secondLoss, mend: none, allow: whatever},
		cell{fault: "kill agent and leader", step: "running", strike: both(kill("agent"), kill("leader")), mend: both(restart("agent"), restart("leader")), allow: whatever},
		cell{fault: "kill entry and agent", step: "running", strike: both(kill("entry"), kill("agent")), mend: both(restart("entry"), restart("agent")), allow: whatever},
		cell{fault: "kill leader in planned stop", step: "entry draining", strike: both(freeze("entry", syscall.SIGTERM), kill("leader")), mend: both(restart("leader"), restart("entry")), allow: whatever},
	)
}

// termAllow is what a planned stop may lead to: it cuts off no request, unless
// it is the upstream itself that stops.
func termAllow(role string) []refuse.Ran {
	if role == "standin" {
		return []refuse.Ran{refuse.RanYes, refuse.RanNo, refuse.RanUnknown}
	}
	return []refuse.Ran{refuse.RanYes}
}

func both(a, b func(*fleet, string) error) func(*fleet, string) error {
	return func(f *fleet, agent string) error { return errors.Join(a(f, agent), b(f, agent)) }
}

// roleNames remembers which instance a fault struck, so that it can be mended.
var roleNames = make(map[string]string)

// nameFor returns the instance that a role of the matrix stands for.
func nameFor(role, agent string) string {
	switch role {
	case "agent":
		return agent
	case "standin":
		return "standin-" + agent
	default:
		return roleNames[role]
	}
}

// chooseRoles finds the leader, a follower and the entry that is called.
func chooseRoles(f *fleet) error {
	leader, err := f.leader()
	if err != nil {
		return err
	}
	roleNames["leader"] = leader
	roleNames["entry"] = f.entries[0]
	for _, c := range f.controls {
		if c != leader {
			roleNames["follower"] = c
		}
	}
	return nil
}

// leader asks the control instances who leads.
func (f *fleet) leader() (string, error) {
	deadline := time.Now().Add(readyWait)
	for time.Now().Before(deadline) {
		for i := range f.controls {
			var s admin.Status
			code, err := operate(f.control(i), http.MethodGet, "/v1/status", nil, &s)
			if err == nil && code == http.StatusOK && s.Leader != "" {
				return s.Leader, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", errors.New("no leader")
}

// loseDisk kills a control instance and empties its folder.
func loseDisk(role string) func(*fleet, string) error {
	return func(f *fleet, _ string) error {
		name := roleNames[role]
		return errors.Join(f.kill(name), os.RemoveAll(f.instances[name].dataDir))
	}
}

// secondLoss repairs an instance with a lost disk, and loses another disk as
// soon as the first votes again.
func secondLoss(f *fleet, agent string) error {
	if err := loseDisk("follower")(f, agent); err != nil {
		return err
	}
	repaired := roleNames["follower"]
	if err := f.start(repaired); err != nil {
		return err
	}
	if err := f.waitVoter(repaired); err != nil {
		return err
	}
	leader, err := f.leader()
	if err != nil {
		return err
	}
	roleNames["leader"] = leader
	if err := loseDisk("leader")(f, agent); err != nil {
		return err
	}
	return f.restart(leader)
}

// waitVoter waits until a control instance is a voter.
func (f *fleet) waitVoter(name string) error {
	deadline := time.Now().Add(readyWait)
	for time.Now().Before(deadline) {
		var s admin.Status
		code, err := operate(f.control(0), http.MethodGet, "/v1/status", nil, &s)
		if err != nil || code != http.StatusOK {
			code, err = operate(f.control(1), http.MethodGet, "/v1/status", nil, &s)
		}
		if err == nil && code == http.StatusOK {
			for _, p := range s.Processes {
				if p.Name == name && p.Voter {
					return nil
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s did not become a voter", name)
}

// restart ends a process, if it runs, and starts it again.
func (f *fleet) restart(name string) error {
	if f.instances[name].running() {
		_ = f.signal(name, syscall.SIGCONT)
		if err := f.kill(name); err != nil {
			return err
		}
	}
	return f.start(name)
}

func (f *fleet) setFault(agent string, fault standin.Fault) error {
	b, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+f.instances["standin-"+agent].http+"/v1/fault", "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// runCell runs one cell: a call, the fault while it runs, the mending, and
// then the same key again until the last word is given.
func runCell(f *fleet, c cell) verdict {
	began := time.Now()
	v := verdict{fault: c.fault, step: c.step}
	key := uuid.Must(uuid.NewV7()).String()
	words, err := strikeCall(f, c, key)
	v.took = time.Since(began)
	if err != nil {
		v.detail = "not run: " + err.Error()
		return v
	}
	paid, err := f.paid()
	if err != nil {
		v.detail = "not run: " + err.Error()
		return v
	}
	v.detail = fmt.Sprintf("told %s; paid %d", strings.Join(words, ", "), paid[key])
	v.held = consistent(words, paid[key]) && allowed(words[0], c.allow)
	return v
}

// consistent holds what the caller was told against the record: yes is paid
// once, no is never paid, unknown at most once, and the last word stands.
func consistent(words []string, paid int) bool {
	if paid > 1 {
		return false
	}
	for _, w := range words {
		if w == string(refuse.RanYes) && paid != 1 {
			return false
		}
	}
	last := words[len(words)-1]
	if last == string(refuse.RanNo) && paid != 0 {
		return false
	}
	return last == words[len(words)-2]
}

func allowed(word string, allow []refuse.Ran) bool {
	for _, a := range allow {
		if word == string(a) {
			return true
		}
	}
	unsettled := word == "cut" || word == "pending"
	return unsettled && len(allow) > 1
}

// strikeCall returns the words that the caller was given: for the call that
// was struck, then for the same key until it is settled, and once more.
func strikeCall(f *fleet, c cell, key string) ([]string, error) {
	if err := f.waitReady(); err != nil {
		return nil, err
	}
	for _, name := range f.controls {
		if err := f.waitVoter(name); err != nil {
			return nil, err
		}
	}
	if err := chooseRoles(f); err != nil {
		return nil, err
	}
	for _, u := range f.spec.upstreams {
		if err := f.setFault(u.name, c.upstream); err != nil {
			return nil, err
		}
	}
	first := make(chan string, 1)
	go func() { first <- book(f.entry(0), key, 4*time.Second) }()
	agent, err := f.holder(c)
	if err != nil {
		return nil, err
	}
	if err := c.strike(f, agent); err != nil {
		return nil, fmt.Errorf("strike: %w", err)
	}
	if !strings.HasPrefix(c.fault, "freeze") {
		time.Sleep(strikeAfter)
	}
	mended := make(chan error, 1)
	go func() {
		if strings.HasPrefix(c.fault, "freeze") {
			time.Sleep(6 * time.Second)
		}
		if strings.HasPrefix(c.fault, "SIGTERM") || strings.Contains(c.fault, "planned") {
			waitEnd(f, c, agent)
		}
		mended <- c.mend(f, agent)
	}()
	words := []string{<-first}
	if err := <-mended; err != nil {
		return nil, fmt.Errorf("mend: %w", err)
	}
	for _, u := range f.spec.upstreams {
		in := f.instances["standin-"+u.name]
		if !in.running() {
			if err := f.start(in.name); err != nil {
				return nil, err
			}
		}
	}
	return f.lastWords(key, words)
}

// waitEnd waits until a process that was told to stop has ended.
func waitEnd(f *fleet, c cell, agent string) {
	role := strings.TrimPrefix(c.fault, "SIGTERM ")
	if strings.Contains(c.fault, "planned") {
		role = "entry"
	}
	<-f.instances[nameFor(role, agent)].done
}

// lastWords asks for the key until it is settled, and once more.
func (f *fleet) lastWords(key string, words []string) ([]string, error) {
	if err := f.waitReady(); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(settleWait)
	settled := 0
	for settled < 2 {
		if time.Now().After(deadline) {
			return words, fmt.Errorf("not settled, told %v", words)
		}
		w := book(f.entry(len(words)), key, 4*time.Second)
		if w == "pending" || w == "cut" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		words = append(words, w)
		settled++
	}
	return words, nil
}

// book sends the booking and returns the word the caller was given.
func book(entry, key string, deadline time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+4*time.Second)
	defer cancel()
	r, err := call(ctx, ask{entry: entry, account: "dakgoot", pipeline: "booking", key: key, deadline: deadline, body: caller.Body{Input: "one van"}})
	switch {
	case err != nil:
		return "cut"
	case r.done():
		return string(refuse.RanYes)
	case r.refusal.Kind == string(refuse.OutcomeUnknown) || r.refusal.Ran == string(refuse.RanNo):
		return r.refusal.Ran
	default:
		return "pending"
	}
}

// holder waits until a stand-in runs the call and returns its agent.
func (f *fleet) holder(c cell) (string, error) {
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) {
		for _, u := range f.spec.upstreams {
			var s standin.Stats
			resp, err := http.Get("http://" + f.instances["standin-"+u.name].http + "/v1/stats")
			if err != nil {
				continue
			}
			err = json.NewDecoder(resp.Body).Decode(&s)
			resp.Body.Close()
			if err == nil && s.Running > 0 {
				return u.name, nil
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return "", fmt.Errorf("no upstream runs the call in %q", c.fault)
}

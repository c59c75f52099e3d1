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

	"hawthornhub.example/hawthornhub/internal/api/caller"
	"hawthornhub.example/hawthornhub/internal/api/operator"
	"hawthornhub.example/hawthornhub/internal/serve/refuse"
	"hawthornhub.example/hawthornhub/internal/test/standin"
)

// cellResult is the result of one cell of the matrix. detail lists the outcomes that
// the caller received ("told") and the number of executions ("paid").
type cellResult struct {
	fault    string
	step     string
	passed   bool
	detail   string
	duration time.Duration
}

// cell is one fault that is injected at one step of an at-most-once call.
type cell struct {
	fault string
	step  string
	// upstreamFault is set on all stand-ins before the call.
	upstreamFault standin.Fault
	// inject injects the fault; agent is the instance that runs the call.
	inject func(f *fleet, agent string) error
	// restore undoes the fault.
	restore func(f *fleet, agent string) error
	// allowedOutcomes are the outcomes that the call under the fault may report
	// to its caller.
	allowedOutcomes []refuse.Ran
}

const (
	// bookingServiceUs is the service time of a booking in microseconds, long enough
	// to inject a fault while the call runs.
	bookingServiceUs = 400_000
	// restoreDelay is the minimum time from the injection of a fault until it is
	// undone.
	restoreDelay = 150 * time.Millisecond
	// outcomeTimeout limits how long a caller polls for the final outcome.
	outcomeTimeout = 40 * time.Second
)

func matrixCommand(app *kingpin.Application) command {
	clause := app.Command("matrix", "Inject faults at the steps of an at-most-once call and check the reported outcomes against the calls that the stand-ins executed.")
	only := clause.Flag("only", "Run only the cells whose fault and step, joined by a space, contain this text.").String()
	return command{clause: clause, run: func() error {
		return withFleet(matrixSpec(), func(f *fleet) error { return runMatrix(f, *only) })
	}}
}

func matrixSpec() fleetSpec {
	zones := []string{"a", "b"}
	spec := fleetSpec{controls: 3, entries: 2, zones: zones, document: documentText("")}
	for i, zone := range zones {
		spec.upstreams = append(spec.upstreams, upstreamSpec{
			name: fmt.Sprintf("booking-%d", i+1), zone: zone, kind: "booking", slots: 8, baseUs: bookingServiceUs,
		})
	}
	return spec
}

func runMatrix(f *fleet, only string) error {
	var failed []string
	for _, c := range matrixCells() {
		if only != "" && !strings.Contains(c.fault+" "+c.step, only) {
			continue
		}
		result := runCell(f, c)
		status := "held"
		if !result.passed {
			status = "BROKEN"
			failed = append(failed, c.fault+" "+c.step)
		}
		fmt.Printf("%-28s %-26s %-7s %6.2f s  %s\n", result.fault, result.step, status, result.duration.Seconds(), result.detail)
	}
	if len(failed) > 0 {
		return fmt.Errorf("failed cells: %s", strings.Join(failed, "; "))
	}
	return nil
}

// matrixCells returns the cells of the fault matrix. The paid action of a step is
// the side effect of a booking, which must happen at most once.
func matrixCells() []cell {
	executed := []refuse.Ran{refuse.RanYes}
	anyOutcome := []refuse.Ran{refuse.RanYes, refuse.RanNo, refuse.RanUnknown}
	doNothing := func(*fleet, string) error { return nil }
	restart := func(name string) func(*fleet, string) error {
		return func(f *fleet, agent string) error { return f.restart(instanceOf(name, agent)) }
	}
	kill := func(name string) func(*fleet, string) error {
		return func(f *fleet, agent string) error { return f.kill(instanceOf(name, agent)) }
	}
	sendSignal := func(name string, sig syscall.Signal) func(*fleet, string) error {
		return func(f *fleet, agent string) error { return f.signal(instanceOf(name, agent), sig) }
	}
	cells := []cell{
		{fault: "none", step: "whole call", inject: doNothing, restore: doNothing, allowedOutcomes: executed},
		{fault: "upstream dies", step: "before the paid action", upstreamFault: standin.Fault{DieBefore: true}, inject: doNothing, restore: restart("standin"), allowedOutcomes: anyOutcome},
		{fault: "upstream dies", step: "after the paid action", upstreamFault: standin.Fault{DieAfter: true}, inject: doNothing, restore: restart("standin"), allowedOutcomes: anyOutcome},
		{fault: "upstream drops its answer", step: "upstream done", upstreamFault: standin.Fault{DropAnswer: true}, inject: doNothing, restore: doNothing, allowedOutcomes: anyOutcome},
		{fault: "upstream stalls", step: "before the paid action", upstreamFault: standin.Fault{StallBefore: true}, inject: doNothing, restore: doNothing, allowedOutcomes: anyOutcome},
		{fault: "upstream stalls", step: "after the paid action", upstreamFault: standin.Fault{StallAfter: true}, inject: doNothing, restore: doNothing, allowedOutcomes: anyOutcome},
	}
	for _, role := range []string{"agent", "entry", "leader", "follower", "standin"} {
		cells = append(cells,
			cell{fault: "kill -9 " + role, step: "running", inject: kill(role), restore: restart(role), allowedOutcomes: anyOutcome},
			cell{fault: "SIGTERM " + role, step: "running", inject: sendSignal(role, syscall.SIGTERM), restore: restart(role), allowedOutcomes: outcomesAfterSIGTERM(role)},
			cell{fault: "freeze and thaw " + role, step: "running", inject: sendSignal(role, syscall.SIGSTOP), restore: sendSignal(role, syscall.SIGCONT), allowedOutcomes: anyOutcome},
		)
	}
	return append(cells,
		cell{fault: "lost disk " + "follower", step: "running", inject: loseDisk("follower"), restore: restart("follower"), allowedOutcomes: anyOutcome},
		cell{fault: "lost disk " + "leader", step: "running", inject: loseDisk("leader"), restore: restart("leader"), allowedOutcomes: anyOutcome},
		cell{fault: "lost disk, then a second", step: "right after the repair", inject: loseSecondDisk, restore: doNothing, allowedOutcomes: anyOutcome},
		cell{fault: "kill agent and leader", step: "running", inject: both(kill("agent"), kill("leader")), restore: both(restart("agent"), restart("leader")), allowedOutcomes: anyOutcome},
		cell{fault: "kill entry and agent", step: "running", inject: both(kill("entry"), kill("agent")), restore: both(restart("entry"), restart("agent")), allowedOutcomes: anyOutcome},
		cell{fault: "kill leader in planned stop", step: "entry draining", inject: both(sendSignal("entry", syscall.SIGTERM), kill("leader")), restore: both(restart("leader"), restart("entry")), allowedOutcomes: anyOutcome},
	)
}

// outcomesAfterSIGTERM returns the outcomes that the planned stop of a role allows.
// A planned stop interrupts no request, unless the upstream itself stops.
func outcomesAfterSIGTERM(role string) []refuse.Ran {
	if role == "standin" {
		return []refuse.Ran{refuse.RanYes, refuse.RanNo, refuse.RanUnknown}
	}
	return []refuse.Ran{refuse.RanYes}
}

// both returns a function that runs a, then b, and joins their errors.
func both(a, b func(*fleet, string) error) func(*fleet, string) error {
	return func(f *fleet, agent string) error { return errors.Join(a(f, agent), b(f, agent)) }
}

// roleInstances maps a role to its instance. It is set before a fault is injected,
// so that the same instance is restored.
var roleInstances = make(map[string]string)

// instanceOf returns the instance that has a role in the matrix.
func instanceOf(role, agent string) string {
	switch role {
	case "agent":
		return agent
	case "standin":
		return "standin-" + agent
	default:
		return roleInstances[role]
	}
}

// assignRoles sets the leader, a follower and the entry that is called.
func assignRoles(f *fleet) error {
	leader, err := f.leader()
	if err != nil {
		return err
	}
	roleInstances["leader"] = leader
	roleInstances["entry"] = f.entries[0]
	for _, c := range f.controls {
		if c != leader {
			roleInstances["follower"] = c
		}
	}
	return nil
}

// leader returns the leader that the control instances report.
func (f *fleet) leader() (string, error) {
	deadline := time.Now().Add(readyWait)
	for time.Now().Before(deadline) {
		for i := range f.controls {
			var s operator.Status
			code, err := callOperatorAPI(f.control(i), http.MethodGet, "/v1/status", nil, &s)
			if err == nil && code == http.StatusOK && s.Leader != "" {
				return s.Leader, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", errors.New("no control instance reports a leader")
}

// loseDisk kills a control instance and deletes its data directory.
func loseDisk(role string) func(*fleet, string) error {
	return func(f *fleet, _ string) error {
		name := roleInstances[role]
		return errors.Join(f.kill(name), os.RemoveAll(f.instances[name].dataDir))
	}
}

// loseSecondDisk restarts a follower without its disk, and deletes the disk of the
// leader as soon as the follower is a voter again.
func loseSecondDisk(f *fleet, agent string) error {
	if err := loseDisk("follower")(f, agent); err != nil {
		return err
	}
	repaired := roleInstances["follower"]
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
	roleInstances["leader"] = leader
	if err := loseDisk("leader")(f, agent); err != nil {
		return err
	}
	return f.restart(leader)
}

// waitVoter waits until a control instance is reported as a voter.
func (f *fleet) waitVoter(name string) error {
	deadline := time.Now().Add(readyWait)
	for time.Now().Before(deadline) {
		var s operator.Status
		code, err := callOperatorAPI(f.control(0), http.MethodGet, "/v1/status", nil, &s)
		if err != nil || code != http.StatusOK {
			code, err = callOperatorAPI(f.control(1), http.MethodGet, "/v1/status", nil, &s)
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

// restart kills a process, if it is running, and starts it again.
func (f *fleet) restart(name string) error {
	if f.instances[name].running() {
		_ = f.signal(name, syscall.SIGCONT)
		if err := f.kill(name); err != nil {
			return err
		}
	}
	return f.start(name)
}

// setFault sets a fault on the stand-in of an agent. It waits for one that has just been
// started to listen.
func (f *fleet) setFault(agent string, fault standin.Fault) error {
	b, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	url := "http://" + f.instances["standin-"+agent].http + "/v1/fault"
	for deadline := time.Now().Add(readyWait); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Post(url, "application/json", bytes.NewReader(b))
		if err == nil {
			return resp.Body.Close()
		}
		if !errors.Is(err, syscall.ECONNREFUSED) || time.Now().After(deadline) {
			return err
		}
	}
}

// runCell runs one cell: it sends a call, injects the fault while the call runs,
// restores the fleet, and repeats the call with the same idempotency key until its
// outcome is final.
func runCell(f *fleet, c cell) cellResult {
	start := time.Now()
	result := cellResult{fault: c.fault, step: c.step}
	key := uuid.Must(uuid.NewV7()).String()
	outcomes, err := callWithFault(f, c, key)
	result.duration = time.Since(start)
	if err != nil {
		result.detail = "not run: " + err.Error()
		return result
	}
	executions, err := f.executions()
	if err != nil {
		result.detail = "not run: " + err.Error()
		return result
	}
	result.detail = fmt.Sprintf("told %s; paid %d", strings.Join(outcomes, ", "), executions[key])
	result.passed = isConsistent(outcomes, executions[key]) && isAllowed(outcomes[0], c.allowedOutcomes)
	return result
}

// isConsistent checks the reported outcomes against the number of executions. There
// is never more than one; any yes requires one, and a final no requires none. The
// final outcome must be the same when it is queried again.
func isConsistent(outcomes []string, executions int) bool {
	if executions > 1 {
		return false
	}
	for _, outcome := range outcomes {
		if outcome == string(refuse.RanYes) && executions != 1 {
			return false
		}
	}
	last := outcomes[len(outcomes)-1]
	if last == string(refuse.RanNo) && executions != 0 {
		return false
	}
	return last == outcomes[len(outcomes)-2]
}

// isAllowed reports whether the call under the fault may have this outcome. A cell
// that allows several outcomes also allows a lost connection and a pending outcome.
func isAllowed(outcome string, allowedOutcomes []refuse.Ran) bool {
	for _, a := range allowedOutcomes {
		if outcome == string(a) {
			return true
		}
	}
	undetermined := outcome == "cut" || outcome == "pending"
	return undetermined && len(allowedOutcomes) > 1
}

// callWithFault makes a call under the fault of a cell. It returns the outcome of
// that call and then the final outcome, queried twice.
func callWithFault(f *fleet, c cell, key string) ([]string, error) {
	if err := f.waitReady(); err != nil {
		return nil, err
	}
	for _, name := range f.controls {
		if err := f.waitVoter(name); err != nil {
			return nil, err
		}
	}
	if err := assignRoles(f); err != nil {
		return nil, err
	}
	for _, u := range f.spec.upstreams {
		if err := f.setFault(u.name, c.upstreamFault); err != nil {
			return nil, err
		}
	}
	first := make(chan string, 1)
	go func() { first <- sendBooking(f.entry(0), key, 4*time.Second) }()
	agent, err := f.runningAgent(c)
	if err != nil {
		return nil, err
	}
	if err := c.inject(f, agent); err != nil {
		return nil, fmt.Errorf("inject fault: %w", err)
	}
	if !strings.HasPrefix(c.fault, "freeze") {
		time.Sleep(restoreDelay)
	}
	restored := make(chan error, 1)
	go func() {
		if strings.HasPrefix(c.fault, "freeze") {
			time.Sleep(6 * time.Second)
		}
		if strings.HasPrefix(c.fault, "SIGTERM") || strings.Contains(c.fault, "planned") {
			waitExit(f, c, agent)
		}
		restored <- c.restore(f, agent)
	}()
	outcomes := []string{<-first}
	if err := <-restored; err != nil {
		return nil, fmt.Errorf("restore: %w", err)
	}
	for _, u := range f.spec.upstreams {
		in := f.instances["standin-"+u.name]
		if !in.running() {
			if err := f.start(in.name); err != nil {
				return nil, err
			}
		}
	}
	return f.awaitOutcome(key, outcomes)
}

// waitExit waits until the process that received SIGTERM has exited.
func waitExit(f *fleet, c cell, agent string) {
	role := strings.TrimPrefix(c.fault, "SIGTERM ")
	if strings.Contains(c.fault, "planned") {
		role = "entry"
	}
	<-f.instances[instanceOf(role, agent)].exited
}

// awaitOutcome repeats the call with its key until the outcome is final, and then
// once more. It appends both outcomes.
func (f *fleet) awaitOutcome(key string, outcomes []string) ([]string, error) {
	if err := f.waitReady(); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(outcomeTimeout)
	final := 0
	for final < 2 {
		if time.Now().After(deadline) {
			return outcomes, fmt.Errorf("the outcome did not become final; reported so far: %v", outcomes)
		}
		outcome := sendBooking(f.entry(len(outcomes)), key, 4*time.Second)
		if outcome == "pending" || outcome == "cut" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		outcomes = append(outcomes, outcome)
		final++
	}
	return outcomes, nil
}

// sendBooking sends a booking and returns its outcome as the caller sees it: yes,
// no or unknown if it is final, pending if it may still change, cut if there was no
// response.
func sendBooking(entry, key string, deadline time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+4*time.Second)
	defer cancel()
	r, err := call(ctx, request{entry: entry, account: "dakgoot", pipeline: "booking", key: key, deadline: deadline, body: caller.Body{Input: "one van"}})
	switch {
	case err != nil:
		return "cut"
	case r.ok():
		return string(refuse.RanYes)
	case r.refusal.Kind == string(refuse.OutcomeUnknown) || r.refusal.Ran == string(refuse.RanNo):
		return r.refusal.Ran
	default:
		return "pending"
	}
}

// runningAgent waits until a stand-in runs the call and returns its agent.
func (f *fleet) runningAgent(c cell) (string, error) {
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
	return "", fmt.Errorf("no stand-in runs the call in cell %q", c.fault)
}

package main

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// stopWait is how long a process may take to stop before it is killed.
	stopWait = 25 * time.Second
	// readyWait is how long the fleet may take to become ready.
	readyWait = 30 * time.Second
	// keyText is the accounts' and teams' key in the fleets of this program.
	keyText = "bench-key"
	// fleetKey is the shared key of the processes of these fleets.
	fleetKey = "a fleet key for loopback benches"
)

// upstreamSpec describes a stand-in and its agent.
type upstreamSpec struct {
	name      string
	zone      string
	kind      string
	model     string
	slots     int
	baseUs    int64
	perUnitUs int64
	fenced    bool
	lag       time.Duration
}

// fleetSpec describes a fleet.
type fleetSpec struct {
	controls  int
	entries   int
	zones     []string
	upstreams []upstreamSpec
	document  string
	logLevel  string
}

// instance is a running process.
type instance struct {
	name    string
	cmd     *exec.Cmd
	bin     string
	args    []string
	log     string
	done    chan struct{}
	http    string
	link    string
	gossip  string
	dataDir string
}

// fleet is a set of running processes in a folder of its own.
type fleet struct {
	dir       string
	bins      string
	spec      fleetSpec
	mu        sync.Mutex
	instances map[string]*instance
	controls  []string
	entries   []string
}

// buildBinaries builds the programs into dir.
func buildBinaries(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/hawthornhub", "./cmd/standin")
	cmd.Stderr = os.Stderr
	root, err := moduleRoot()
	if err != nil {
		return err
	}
	cmd.Dir = root
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("build programs: %w", err)
	}
	return nil
}

func moduleRoot() (string, error) {
	out, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", fmt.Errorf("find module: %w", err)
	}
	return filepath.Dir(strings.TrimSpace(string(out))), nil
}

// hashOf returns the hash of a key, as the document holds it.
func hashOf(key string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(key))) }

// The ports are chosen below those that the system gives to outgoing
// connections, which could otherwise take one before its process listens.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// taken are the ports that were given out.
var taken = make(map[int]bool)

// freePort returns a loopback address that was free a moment ago.
func freePort() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if taken[port] {
			continue
		}
		taken[port] = true
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

func isFree(address string) bool {
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return ln.Close() == nil
}

// startFleet starts all processes and waits until the fleet serves.
func startFleet(dir string, spec fleetSpec) (*fleet, error) {
	f := &fleet{dir: dir, bins: filepath.Join(dir, "bin"), spec: spec, instances: make(map[string]*instance)}
	if spec.logLevel == "" {
		f.spec.logLevel = "info"
	}
	if err := os.MkdirAll(f.bins, 0o700); err != nil {
		return nil, err
	}
	if err := buildBinaries(f.bins); err != nil {
		return nil, err
	}
	if err := f.prepare(); err != nil {
		return nil, err
	}
	if err := f.startAll(); err != nil {
		return nil, errors.Join(err, f.stop())
	}
	if err := f.waitReady(); err != nil {
		return nil, errors.Join(err, f.stop())
	}
	return f, nil
}

// prepare chooses addresses and writes keys, document and settings.
func (f *fleet) prepare() error {
	if err := os.WriteFile(f.path("fleet.key"), []byte(fleetKey), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(f.path("team.key"), []byte(keyText), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(f.path("document.toml"), []byte(f.spec.document), 0o600); err != nil {
		return err
	}
	for i := range f.spec.controls {
		f.controls = append(f.controls, fmt.Sprintf("control-%d", i+1))
	}
	for i := range f.spec.entries {
		f.entries = append(f.entries, fmt.Sprintf("entry-%d", i+1))
	}
	for _, name := range append(append([]string{}, f.controls...), f.entries...) {
		if err := f.address(name); err != nil {
			return err
		}
	}
	for i, name := range f.controls {
		if err := f.writeControl(name, f.zone(i)); err != nil {
			return err
		}
	}
	for i, name := range f.entries {
		if err := f.write(name, f.common(name, f.zone(i))+"[entry]\ndrain_ms = 200\nstop_ms = 20000\n"); err != nil {
			return err
		}
	}
	for _, u := range f.spec.upstreams {
		if err := f.writeAgent(u); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) zone(i int) string { return f.spec.zones[i%len(f.spec.zones)] }

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) address(name string) error {
	in := &instance{name: name, bin: "hawthornhub", log: f.path(name + ".log"), dataDir: f.path(name + ".data")}
	var err error
	if in.http, err = freePort(); err != nil {
		return err
	}
	if in.link, err = freePort(); err != nil {
		return err
	}
	if in.gossip, err = freePort(); err != nil {
		return err
	}
	f.instances[name] = in
	return nil
}

// common is the part of the settings that all roles share.
func (f *fleet) common(name, zone string) string {
	var b strings.Builder
	in := f.instances[name]
	fmt.Fprintf(&b, "name = %q\nzone = %q\nlog_level = %q\nfleet_key_file = %q\n", name, zone, f.spec.logLevel, f.path("fleet.key"))
	for _, c := range f.controls {
		p := f.instances[c]
		fmt.Fprintf(&b, "[[control]]\nname = %q\nlink = %q\ngossip = %q\n", c, p.link, p.gossip)
	}
	fmt.Fprintf(&b, "[listen]\nhttp = %q\nlink = %q\ngossip = %q\n", in.http, in.link, in.gossip)
	return b.String()
}

func (f *fleet) write(name, text string) error {
	in := f.instances[name]
	file := f.path(name + ".toml")
	role := strings.SplitN(name, "-", 2)[0]
	if role != "control" && role != "entry" {
		role = "agent"
	}
	in.args = []string{role, "--settings", file}
	return os.WriteFile(file, []byte(text), 0o600)
}

func (f *fleet) writeControl(name, zone string) error {
	in := f.instances[name]
	return f.write(name, f.common(name, zone)+fmt.Sprintf("[replica]\ndata_dir = %q\ndocument_file = %q\n", in.dataDir, f.path("document.toml")))
}

func (f *fleet) writeAgent(u upstreamSpec) error {
	if err := f.address(u.name); err != nil {
		return err
	}
	announce, err := freePort()
	if err != nil {
		return err
	}
	if err := f.write(u.name, f.common(u.name, u.zone)+fmt.Sprintf("[agent]\nannounce = %q\n", announce)); err != nil {
		return err
	}
	serve, err := freePort()
	if err != nil {
		return err
	}
	name := "standin-" + u.name
	args := []string{
		"--http", serve, "--agent", announce, "--kind", u.kind, "--model", u.model,
		"--slots", fmt.Sprint(u.slots), "--base-us", fmt.Sprint(u.baseUs), "--per-unit-us", fmt.Sprint(u.perUnitUs),
		"--record", f.record(u.name), "--lag", max(u.lag, 250*time.Millisecond).String(),
	}
	if u.fenced {
		args = append(args, "--fenced")
	}
	f.instances[name] = &instance{name: name, bin: "standin", args: args, http: serve, log: f.path(name + ".log")}
	return nil
}

// record is the file that a stand-in writes its paid actions to.
func (f *fleet) record(agent string) string { return f.path(agent + ".record") }

func (f *fleet) startAll() error {
	for _, in := range f.instances {
		if err := f.start(in.name); err != nil {
			return err
		}
	}
	return nil
}

// start starts a process that does not run.
func (f *fleet) start(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.instances[name]
	log, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.bins, in.bin), in.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	done := make(chan struct{})
	in.cmd, in.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to a process.
func (f *fleet) signal(name string, sig syscall.Signal) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.instances[name]
	if in.cmd == nil || !in.running() {
		return nil
	}
	return in.cmd.Process.Signal(sig)
}

// kill kills a process and waits for its end.
func (f *fleet) kill(name string) error {
	if err := f.signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-f.instances[name].done
	return nil
}

func (in *instance) running() bool {
	select {
	case <-in.done:
		return false
	default:
		return true
	}
}

// stop stops all processes, entries first, and kills those that do not end.
func (f *fleet) stop() error {
	groups := [][]string{{}, {}, {}, {}}
	for name, in := range f.instances {
		switch {
		case strings.HasPrefix(name, "entry-"):
			groups[0] = append(groups[0], name)
		case in.bin == "standin":
			groups[2] = append(groups[2], name)
		case strings.HasPrefix(name, "control-"):
			groups[3] = append(groups[3], name)
		default:
			groups[1] = append(groups[1], name)
		}
	}
	var errs []error
	for _, g := range groups {
		errs = append(errs, f.stopGroup(g))
	}
	return errors.Join(errs...)
}

func (f *fleet) stopGroup(names []string) error {
	for _, n := range names {
		_ = f.signal(n, syscall.SIGCONT)
		_ = f.signal(n, syscall.SIGTERM)
	}
	var errs []error
	deadline := time.After(stopWait)
	for _, n := range names {
		in := f.instances[n]
		if in.cmd == nil {
			continue
		}
		select {
		case <-in.done:
		case <-deadline:
			errs = append(errs, fmt.Errorf("%s did not stop within %v and was killed", n, stopWait))
			_ = f.kill(n)
		}
	}
	return errors.Join(errs...)
}

// waitReady waits until every process says that it is ready.
func (f *fleet) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyWait)
	defer cancel()
	for name, in := range f.instances {
		if in.bin == "standin" {
			continue
		}
		if err := f.waitFor(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) waitFor(ctx context.Context, name string) error {
	in := f.instances[name]
	for {
		resp, err := http.Get("http://" + in.http + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready; see %s", name, in.log)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

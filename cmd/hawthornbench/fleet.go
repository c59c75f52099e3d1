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
	// stopWait is the time that a process has to exit after SIGTERM before it is
	// killed.
	stopWait = 25 * time.Second
	// readyWait is the time that the fleet has to become ready.
	readyWait = 30 * time.Second
	// clientKey is the key of all accounts and teams.
	clientKey = "bench-key"
	// fleetKey is the shared key with which processes authenticate to each other.
	fleetKey = "a fleet key for loopback benches"
)

// upstreamSpec describes a stand-in and its agent. The fields after name and zone
// are the flags of cmd/standin.
type upstreamSpec struct {
	name        string
	zone        string
	kind        string
	model       string
	slots       int
	baseUs      int64
	perUnitUs   int64
	fenced      bool
	reportDelay time.Duration
}

// fleetSpec describes the processes and the configuration of a fleet.
type fleetSpec struct {
	controls  int
	entries   int
	zones     []string
	upstreams []upstreamSpec
	document  string
	logLevel  string
}

// instance is a process of the fleet and what is needed to start it again.
type instance struct {
	name    string
	cmd     *exec.Cmd
	program string
	args    []string
	log     string
	exited  chan struct{}
	http    string
	link    string
	gossip  string
	dataDir string
}

// fleet is a set of processes that keep their files in one directory.
type fleet struct {
	dir       string
	binDir    string
	spec      fleetSpec
	mu        sync.Mutex
	instances map[string]*instance
	controls  []string
	entries   []string
}

// buildBinaries builds cmd/hawthornhub and cmd/standin into dir.
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

// hashOf returns the SHA-256 of a key in hexadecimal, as in the document.
func hashOf(key string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(key))) }

// The ports are below the ephemeral range of the operating system. A port of that
// range could be taken by an outgoing connection before its process listens.
const (
	minPort = 10_000
	maxPort = 30_000
)

// usedPorts holds the ports that freeAddress has returned or found in use.
var usedPorts = make(map[int]bool)

// freeAddress returns a loopback address whose port is free on TCP and UDP at the
// time of the call.
func freeAddress() (string, error) {
	for range maxPort - minPort {
		port := minPort + rand.IntN(maxPort-minPort)
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
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

// startFleet builds the programs, starts all processes and waits until they are
// ready.
func startFleet(dir string, spec fleetSpec) (*fleet, error) {
	f := &fleet{dir: dir, binDir: filepath.Join(dir, "bin"), spec: spec, instances: make(map[string]*instance)}
	if spec.logLevel == "" {
		f.spec.logLevel = "info"
	}
	if err := os.MkdirAll(f.binDir, 0o700); err != nil {
		return nil, err
	}
	if err := buildBinaries(f.binDir); err != nil {
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

// prepare chooses addresses and writes the keys, the document and the settings
// files.
func (f *fleet) prepare() error {
	if err := os.WriteFile(f.path("fleet.key"), []byte(fleetKey), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(f.path("team.key"), []byte(clientKey), 0o600); err != nil {
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
		if err := f.addInstance(name); err != nil {
			return err
		}
	}
	for i, name := range f.controls {
		if err := f.writeControlSettings(name, f.zone(i)); err != nil {
			return err
		}
	}
	for i, name := range f.entries {
		if err := f.writeSettings(name, f.commonSettings(name, f.zone(i))+"[entry]\ndrain_ms = 200\nstop_ms = 20000\n"); err != nil {
			return err
		}
	}
	for _, u := range f.spec.upstreams {
		if err := f.addUpstream(u); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) zone(i int) string { return f.spec.zones[i%len(f.spec.zones)] }

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

// addInstance adds an instance of cmd/hawthornhub and chooses its addresses.
func (f *fleet) addInstance(name string) error {
	in := &instance{name: name, program: "hawthornhub", log: f.path(name + ".log"), dataDir: f.path(name + ".data")}
	var err error
	if in.http, err = freeAddress(); err != nil {
		return err
	}
	if in.link, err = freeAddress(); err != nil {
		return err
	}
	if in.gossip, err = freeAddress(); err != nil {
		return err
	}
	f.instances[name] = in
	return nil
}

// commonSettings returns the settings that all roles have.
func (f *fleet) commonSettings(name, zone string) string {
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

// writeSettings writes the settings file of an instance; the instance name
// determines the role.
func (f *fleet) writeSettings(name, text string) error {
	in := f.instances[name]
	file := f.path(name + ".toml")
	role := strings.SplitN(name, "-", 2)[0]
	if role != "control" && role != "entry" {
		role = "agent"
	}
	in.args = []string{role, "--settings", file}
	return os.WriteFile(file, []byte(text), 0o600)
}

func (f *fleet) writeControlSettings(name, zone string) error {
	in := f.instances[name]
	return f.writeSettings(name, f.commonSettings(name, zone)+fmt.Sprintf("[replica]\ndata_dir = %q\ndocument_file = %q\n", in.dataDir, f.path("document.toml")))
}

// addUpstream adds a stand-in and its agent.
func (f *fleet) addUpstream(u upstreamSpec) error {
	if err := f.addInstance(u.name); err != nil {
		return err
	}
	announce, err := freeAddress()
	if err != nil {
		return err
	}
	if err := f.writeSettings(u.name, f.commonSettings(u.name, u.zone)+fmt.Sprintf("[agent]\nannounce = %q\n", announce)); err != nil {
		return err
	}
	address, err := freeAddress()
	if err != nil {
		return err
	}
	name := "standin-" + u.name
	args := []string{
		"--http", address, "--agent", announce, "--kind", u.kind, "--model", u.model,
		"--slots", fmt.Sprint(u.slots), "--base-us", fmt.Sprint(u.baseUs), "--per-unit-us", fmt.Sprint(u.perUnitUs),
		"--record", f.recordFile(u.name), "--lag", max(u.reportDelay, 250*time.Millisecond).String(),
	}
	if u.fenced {
		args = append(args, "--fenced")
	}
	f.instances[name] = &instance{name: name, program: "standin", args: args, http: address, log: f.path(name + ".log")}
	return nil
}

// recordFile returns the file to which the stand-in of an agent writes the
// at-most-once calls that it executes.
func (f *fleet) recordFile(agent string) string { return f.path(agent + ".record") }

func (f *fleet) startAll() error {
	for _, in := range f.instances {
		if err := f.start(in.name); err != nil {
			return err
		}
	}
	return nil
}

// start starts a process that is not running.
func (f *fleet) start(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.instances[name]
	log, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.binDir, in.program), in.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	done := make(chan struct{})
	in.cmd, in.exited = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to a process, if it is running.
func (f *fleet) signal(name string, sig syscall.Signal) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.instances[name]
	if in.cmd == nil || !in.running() {
		return nil
	}
	return in.cmd.Process.Signal(sig)
}

// kill kills a process and waits until it has exited.
func (f *fleet) kill(name string) error {
	if err := f.signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-f.instances[name].exited
	return nil
}

func (in *instance) running() bool {
	select {
	case <-in.exited:
		return false
	default:
		return true
	}
}

// stop stops all processes with SIGTERM: entries, then agents, stand-ins and
// control instances. Processes that do not exit in time are killed.
func (f *fleet) stop() error {
	groups := [][]string{{}, {}, {}, {}}
	for name, in := range f.instances {
		switch {
		case strings.HasPrefix(name, "entry-"):
			groups[0] = append(groups[0], name)
		case in.program == "standin":
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
		case <-in.exited:
		case <-deadline:
			errs = append(errs, fmt.Errorf("%s did not exit within %v of SIGTERM and was killed", n, stopWait))
			_ = f.kill(n)
		}
	}
	return errors.Join(errs...)
}

// waitReady waits until the readiness check of every process passes.
func (f *fleet) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyWait)
	defer cancel()
	for name, in := range f.instances {
		if in.program == "standin" {
			continue
		}
		if err := f.waitInstanceReady(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) waitInstanceReady(ctx context.Context, name string) error {
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
			return fmt.Errorf("%s is not ready; see its log %s", name, in.log)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

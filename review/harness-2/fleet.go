package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// The figures of the sheet of ijspegel-net.
const (
	heartbeatInterval = 1200 * time.Millisecond
	ackLimit          = time.Second
	graceSeconds      = 8
	memoryMB          = 284
)

// fleet is a small deployment on loopback addresses: three registries with a disk and two
// gateways, started with the commands of the deploy file.
type fleet struct {
	dir      string
	record   *record
	ports    [5]int
	mu       sync.Mutex
	procs    map[string]*proc
	ctx      context.Context
	cancel   context.CancelFunc
	client   *http.Client
	gateways int
	// registries are the numbers of the registries that the settings name as seeds.
	registries []int
	base       string
}

// proc is a process of the fleet.
type proc struct {
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
}

const (
	portRegistry = iota
	portControl
	portLink
	portCallers
	portReady
)

// freePorts finds ports that are free on all addresses in use.
func freePorts() ([5]int, error) {
	var out [5]int
	for i := range out {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return out, err
		}
		defer ln.Close()
		out[i] = ln.Addr().(*net.TCPAddr).Port
	}
	return out, nil
}

func newFleet(r *record, gateways int) (*fleet, error) {
	return newFleetWith(r, gateways, func(*fleet, int) bool { return false })
}

// newFleetWith leaves out the registries for which lost returns true.
func newFleetWith(r *record, gateways int, lost func(f *fleet, i int) bool) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: r, procs: make(map[string]*proc), gateways: gateways, registries: []int{0, 1, 2}, base: fmt.Sprintf("127.%d.", 20+os.Getpid()%200)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	if f.ports, err = freePorts(); err != nil {
		return nil, err
	}
	for i := range 3 {
		if lost(f, i) {
			continue
		}
		if err := f.startRegistry(i, true); err != nil {
			return nil, err
		}
	}
	for i := range gateways {
		if err := f.startGateway(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) registryHost(i int) string { return fmt.Sprintf("%s0.%d", f.base, i+1) }
func (f *fleet) gatewayHost(i int) string  { return fmt.Sprintf("%s1.%d", f.base, i+1) }
func (f *fleet) serverHost() string        { return f.base + "2.1" }

func (f *fleet) registryAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.registryHost(i), f.ports[portRegistry])
}

func (f *fleet) gatewayAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.gatewayHost(i), f.ports[portCallers])
}

func (f *fleet) head(name, zone string) string {
	var seeds []string
	for _, i := range f.registries {
		seeds = append(seeds, fmt.Sprintf("%q", f.registryAddress(i)))
	}
	return fmt.Sprintf("name = %q\nzone = %q\nfleet_key_file = \"deploy/fleet.key\"\nseeds = [%s]\ncontrol_port = %d\nmemory_mb = %d\n[stop]\ngrace_ms = %d\n[retry]\nratio = 0.2\nslack = 60\n",
		name, zone, strings.Join(seeds, ","), f.ports[portControl], memoryMB, graceSeconds*1000)
}

func zoneOf(i int) string { return fmt.Sprintf("z%d", i+1) }

func (f *fleet) startRegistry(i int, first bool) error {
	name := fmt.Sprintf("registry-%d", i)
	return f.start(name, "registry", f.registrySettings(i, first))
}

func (f *fleet) registrySettings(i int, first bool) string {
	name := fmt.Sprintf("registry-%d", i)
	return f.head(name, zoneOf(i)) + fmt.Sprintf("[listen]\nregistry = %q\nlink = \"%s:%d\"\n[replica]\ndata_dir = %q\nfirst = %t\nfaults = 1\n",
		f.registryAddress(i), f.registryHost(i), f.ports[portControl], filepath.Join(f.dir, name), first)
}

func (f *fleet) startGateway(i int) error {
	name := fmt.Sprintf("gateway-%d", i)
	return f.start(name, "gateway", f.gatewaySettings(i))
}

func (f *fleet) gatewaySettings(i int) string {
	name := fmt.Sprintf("gateway-%d", i)
	return f.head(name, zoneOf(i)) + fmt.Sprintf("[listen]\ncallers = %q\nready = \"%s:%d\"\nlink = \"%s:%d\"\n[replica]\nfaults = 1\n",
		f.gatewayAddress(i), f.gatewayHost(i), f.ports[portReady], f.gatewayHost(i), f.ports[portLink])
}

// reloadAll writes all settings anew and sends SIGHUP.
func (f *fleet) reloadAll() error {
	f.mu.Lock()
	var names []string
	for name := range f.procs {
		names = append(names, name)
	}
	f.mu.Unlock()
	for _, name := range names {
		var i int
		var text string
		if _, err := fmt.Sscanf(name, "registry-%d", &i); err == nil {
			text = f.registrySettings(i, false)
		} else if _, err := fmt.Sscanf(name, "gateway-%d", &i); err == nil {
			text = f.gatewaySettings(i)
		}
		if err := os.WriteFile(filepath.Join(f.dir, name+".toml"), []byte(text), 0o600); err != nil {
			return err
		}
		f.signal(name, syscall.SIGHUP)
	}
	return nil
}

func (f *fleet) start(name, role, settings string) error {
	file := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/hawthornhub", role, "--settings", file)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	p := &proc{cmd: cmd, exited: make(chan struct{})}
	f.mu.Lock()
	f.procs[name] = p
	f.mu.Unlock()
	f.record.add("start %s pid %d", name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		f.record.add("end %s pid %d: %v", name, cmd.Process.Pid, err)
		close(p.exited)
	}()
	return nil
}

func (f *fleet) proc(name string) *proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[name]
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.record.add("signal %s %v", name, s)
	_ = f.proc(name).cmd.Process.Signal(s)
}

// kill ends a process and waits for its end.
func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	<-f.proc(name).exited
}

// forget leaves out a process that has ended and stays away.
func (f *fleet) forget(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.procs, name)
}

// running reports whether a process has not ended.
func (f *fleet) running(name string) bool {
	select {
	case <-f.proc(name).exited:
		return false
	default:
		return true
	}
}

// close ends all processes that were started.
func (f *fleet) close() {
	f.cancel()
	f.mu.Lock()
	procs := f.procs
	f.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// call sends one call to a registry, and follows two redirects.
func (f *fleet) call(ctx context.Context, method, url string, body []byte) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// putConfig sends a configuration until it is acknowledged, each time to the next node, and
// returns when it was.
func (f *fleet) putConfig(document any) (time.Time, error) {
	return f.putConfigWithin(document, 30*time.Second)
}

// putConfigWithin is putConfig with the time after which the operator gives up.
func (f *fleet) putConfigWithin(document any, limit time.Duration) (time.Time, error) {
	body, err := json.Marshal(document)
	if err != nil {
		return time.Time{}, err
	}
	last := ""
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		registry := f.registries[i%len(f.registries)]
		ctx, cancel := context.WithTimeout(f.ctx, 4*time.Second)
		status, text, err := f.call(ctx, http.MethodPut, "http://"+f.registryAddress(registry)+"/v1/config", body)
		cancel()
		last = fmt.Sprint(status, " ", strings.TrimSpace(text), " ", err)
		switch {
		case err == nil && status == http.StatusOK:
			f.record.add("configuration acknowledged by registry-%d", registry)
			return time.Now(), nil
		case status >= 400 && status < 500:
			return time.Time{}, fmt.Errorf("configuration refused: %s", last)
		}
		time.Sleep(250 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("no acknowledgement: %s", last)
}

// awaitReady waits until all gateways report that they are ready.
func (f *fleet) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range f.gateways {
			ctx, cancel := context.WithTimeout(f.ctx, time.Second)
			status, _, err := f.call(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/ready", f.gatewayHost(i), f.ports[portReady]), nil)
			cancel()
			if err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == f.gateways {
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready after 20 s")
}

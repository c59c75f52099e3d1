package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is grace-s of the small sites.
	graceTime = 8 * time.Second
	// catchUp is catch-up-s of the small sites, and a moment more: after this time a
	// machine that is back or new no longer counts as lost.
	catchUp = 4200 * time.Millisecond
)

// fleet runs the project's programs, each on a loopback address of its own.
type fleet struct {
	dir, binary string
	rec         *record
	// registryPort and controlPort are those of the registries, callerPort, readyPort and
	// linkPort those of the gateways.
	registryPort, controlPort, callerPort, readyPort, linkPort int
	// host is the host that clients send.
	host string
	// seeds are the registries of the first start. They stay in the settings of all.
	seeds []string
	mu    sync.Mutex
	procs map[string]*exec.Cmd
}

func newFleet(dir, binary string, rec *record) (*fleet, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	f := &fleet{host: "a.example", dir: dir, binary: binary, rec: rec, procs: make(map[string]*exec.Cmd)}
	for _, port := range []*int{&f.registryPort, &f.controlPort, &f.callerPort, &f.readyPort, &f.linkPort} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		*port = ln.Addr().(*net.TCPAddr).Port
	}
	for i := 1; i <= 3; i++ {
		f.seeds = append(f.seeds, f.registryAddress(i))
	}
	return f, nil
}

func registryHost(i int) string { return fmt.Sprintf("127.0.40.%d", i) }

func gatewayHost(i int) string { return fmt.Sprintf("127.0.41.%d", i) }

func (f *fleet) registryAddress(i int) string {
	return fmt.Sprintf("%s:%d", registryHost(i), f.registryPort)
}

func (f *fleet) gatewayAddress(i int) string {
	return fmt.Sprintf("%s:%d", gatewayHost(i), f.callerPort)
}

func (f *fleet) dataDir(i int) string { return filepath.Join(f.dir, fmt.Sprint("data-", i)) }

// startRegistry starts registry i; first is set at the first start of the whole system.
func (f *fleet) startRegistry(i int, first bool) error {
	return f.start(fmt.Sprint("registry-", i), "registry", fmt.Sprintf(`
[listen]
registry = %q
link = "%s:%d"
[replica]
data_dir = %q
first = %t
faults = 1
`, f.registryAddress(i), registryHost(i), f.controlPort, f.dataDir(i), first))
}

// startGateway starts gateway i.
func (f *fleet) startGateway(i int) error {
	return f.start(fmt.Sprint("gateway-", i), "gateway", fmt.Sprintf(`
[listen]
callers = %q
ready = "%s:%d"
link = "%s:%d"
[retry]
ratio = 0.2
slack = 60
`, f.gatewayAddress(i), gatewayHost(i), f.readyPort, gatewayHost(i), f.linkPort))
}

func (f *fleet) start(name, role, tables string) error {
	settings := fmt.Sprintf("name = %q\nzone = \"z1\"\nfleet_key_file = \"deploy/fleet.key\"\nseeds = [\"%s\"]\ncontrol_port = %d\nmemory_mb = 284\n[stop]\ngrace_ms = %d\n%s",
		name, strings.Join(f.seeds, `", "`), f.controlPort, graceTime.Milliseconds(), tables)
	file := filepath.Join(f.dir, name+".conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(f.binary, role, "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.procs[name] = cmd
	f.mu.Unlock()
	f.rec.note("start %s", name)
	return nil
}

// proc returns a process that runs, nil if there is none.
func (f *fleet) proc(name string) *exec.Cmd {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[name]
}

// signal sends a signal to a process.
func (f *fleet) signal(name string, sig syscall.Signal) error {
	f.rec.note("%s gets %v", name, sig)
	return f.proc(name).Process.Signal(sig)
}

// end sends a signal that ends a process, kills it after the grace time, and waits for
// its end.
func (f *fleet) end(name string, sig syscall.Signal) error {
	cmd := f.proc(name)
	if err := f.signal(name, sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	timer := time.AfterFunc(graceTime, func() { cmd.Process.Kill() })
	defer timer.Stop()
	// An exit by the signal is reported as an error.
	_ = cmd.Wait()
	f.mu.Lock()
	delete(f.procs, name)
	f.mu.Unlock()
	f.rec.note("%s has ended", name)
	return nil
}

// loseDisk empties the disk of registry i.
func (f *fleet) loseDisk(i int) error {
	f.rec.note("registry-%d loses its disk", i)
	return os.RemoveAll(f.dataDir(i))
}

// stopAll ends every process.
func (f *fleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cmd := range f.procs {
		cmd.Process.Kill()
		_ = cmd.Wait()
	}
	clear(f.procs)
}

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

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *os.File
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// instance is one process of the project.
type instance struct {
	name, role, settings, log string
	// url is that of the control address, empty for a gateway.
	url     string
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool
}

// fleet runs registries with a disk and gateways as processes on loopback addresses.
type fleet struct {
	rec   *record
	dir   string
	ports map[string]int
	seeds []string
	// faults is the field fault-tolerance.machines of the platform.
	faults   int
	mu       sync.Mutex
	all      []*instance
	controls []*instance
	gateways []*instance
}

// errSetup marks a failure to run the case at all.
type errSetup struct{ err error }

func (e errSetup) Error() string { return e.err.Error() }

func must(err error) {
	if err != nil {
		panic(errSetup{err})
	}
}

func newFleet(rec *record) *fleet {
	dir, err := os.MkdirTemp("", "review3-")
	must(err)
	f := &fleet{rec: rec, dir: dir, ports: make(map[string]int), faults: 1}
	var open []net.Listener
	for _, name := range []string{"front", "ready", "control", "inner0", "inner1"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		open = append(open, ln)
		f.ports[name] = ln.Addr().(*net.TCPAddr).Port
	}
	for _, ln := range open {
		ln.Close()
	}
	for i := range 3 {
		f.seeds = append(f.seeds, f.address(controlHost(i), "control"))
	}
	return f
}

func (f *fleet) address(host, port string) string { return fmt.Sprintf("%s:%d", host, f.ports[port]) }

func controlHost(i int) string { return fmt.Sprintf("127.0.0.%d", i+1) }

func gatewayHost(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

func zone(i int) string { return "z" + string(rune('a'+i)) }

// common is the part of the settings that all processes have, as deploy/settings.tmpl
// renders it for a small deployment.
func (f *fleet) common(name, zone string) string {
	key, err := filepath.Abs("deploy/fleet.key")
	must(err)
	return fmt.Sprintf("name = %q\nzone = %q\nfleet_key_file = %q\nseeds = [\"%s\"]\ncontrol_port = %d\nmemory_mb = 284\n",
		name, zone, key, strings.Join(f.seeds, `","`), f.ports["inner1"])
}

// tail returns the sections of the settings that all processes have. The line with the field
// grace-s of the platform is rendered from the template of the deploy file.
func tail(grace string) string {
	text, err := os.ReadFile("deploy/settings.tmpl")
	must(err)
	const field = "{{bounds.grace-s}}"
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, field) {
			return "[stop]\n" + strings.Replace(line, field, grace, 1) + "[retry]\nratio = 0.2\nslack = 60\n"
		}
	}
	panic(errSetup{fmt.Errorf("deploy/settings.tmpl does not use %s", field)})
}

// defaultGrace is the field grace-s of the sites.
const defaultGrace = "8"

// setGrace changes the settings file of an instance.
func (f *fleet) setGrace(p *instance, grace string) {
	text, err := os.ReadFile(p.settings)
	must(err)
	must(os.WriteFile(p.settings, bytes.Replace(text, []byte(tail(defaultGrace)), []byte(tail(grace)), 1), 0o600))
	f.rec.printf("process %s: its settings change: grace-s %s", p.name, grace)
}

// addControl writes the settings of a registry. first is the field bootstrap of the platform.
func (f *fleet) addControl(i int, first bool) *instance {
	host := controlHost(i)
	p := &instance{name: fmt.Sprint("control-", i+1), role: "registry", url: "http://" + f.address(host, "control")}
	f.controls = append(f.controls, p)
	f.writeSettings(p, f.common(p.name+"/registry", zone(i))+
		fmt.Sprintf("[listen]\nregistry = %q\nlink = %q\n", f.address(host, "control"), f.address(host, "inner1"))+
		fmt.Sprintf("[replica]\ndata_dir = %q\nfirst = %t\nfaults = %d\n", filepath.Join(f.dir, "data-"+p.name), first, f.faults)+tail(defaultGrace))
	return p
}

func (f *fleet) addGateway(i int) *instance {
	host := gatewayHost(i)
	p := &instance{name: fmt.Sprint("gateway-", i+1), role: "gateway"}
	f.gateways = append(f.gateways, p)
	f.writeSettings(p, f.common(p.name+"/gateway", zone(i))+
		fmt.Sprintf("[listen]\ncallers = %q\nready = %q\nlink = %q\n", f.address(host, "front"), f.address(host, "ready"), f.address(host, "inner0"))+
		fmt.Sprintf("[replica]\nrelay = true\nfirst = false\nfaults = %d\n", f.faults)+tail(defaultGrace))
	return p
}

func (f *fleet) writeSettings(p *instance, text string) {
	p.settings, p.log = filepath.Join(f.dir, p.name+".conf"), filepath.Join(f.dir, p.name+".log")
	must(os.WriteFile(p.settings, []byte(text), 0o600))
}

// restartFlag sets the field bootstrap to false, as it is for each start but the first one.
func (f *fleet) restartFlag(p *instance) {
	text, err := os.ReadFile(p.settings)
	must(err)
	must(os.WriteFile(p.settings, bytes.Replace(text, []byte("first = true"), []byte("first = false"), 1), 0o600))
}

// wipe removes the data folder of an instance that does not run.
func (f *fleet) wipe(p *instance) {
	f.rec.printf("process %s: data folder emptied", p.name)
	must(os.RemoveAll(filepath.Join(f.dir, "data-"+p.name)))
}

// start runs an instance with the command of the deploy file.
func (f *fleet) start(p *instance) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/hawthornhub", p.role, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	must(cmd.Start())
	log.Close()
	p.cmd, p.ended, p.stopped = cmd, make(chan struct{}), false
	ended := p.ended
	go func() {
		cmd.Wait()
		close(ended)
	}()
	f.rec.printf("process %s started, pid %d", p.name, cmd.Process.Pid)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, &instance{name: p.name, cmd: cmd, ended: ended})
}

func (f *fleet) signal(p *instance, s syscall.Signal) {
	f.rec.printf("process %s: signal %v", p.name, s)
	must(p.cmd.Process.Signal(s))
}

func (f *fleet) kill(p *instance) {
	f.signal(p, syscall.SIGKILL)
	<-p.ended
}

// ownEnds returns the instances that have ended though nobody ended them.
func (p *instance) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// close ends all processes that the case started.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.all {
		p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", f.dir)
		return
	}
	os.RemoveAll(f.dir)
}

// get returns the status and the body of an answer, status 0 if there is none.
func call(method, url, body string, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	must(err)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// putConfig sends a configuration until it is acknowledged, to one control instance of the seeds
// after the other. It returns the one that has acknowledged it, nil if none has before the end.
func (f *fleet) putConfig(version int, text string, end time.Time) *instance {
	for i := 0; time.Now().Before(end); i++ {
		p := f.controls[i%len(f.seeds)]
		status, body := call(http.MethodPut, p.url+"/v1/config", text, time.Second)
		f.rec.printf("operator: configuration %d to %s: %d %.120s", version, p.name, status, strings.TrimSpace(body))
		if status == http.StatusOK {
			return p
		}
		time.Sleep(retryDelay)
	}
	return nil
}

// retryDelay is the pause of the operator between two calls.
const retryDelay = 200 * time.Millisecond

// readBack reads the configuration until it is the one sent, from one control instance after the
// other, and reports whether that was so before the end.
func (f *fleet) readBack(text string, end time.Time) bool {
	for i := 0; time.Now().Before(end); i++ {
		p := f.controls[i%len(f.controls)]
		status, body := call(http.MethodGet, p.url+"/v1/config", "", time.Second)
		f.rec.printf("operator: reads at %s: %d, the one sent: %v, %.120s", p.name, status, body == text, strings.TrimSpace(body))
		if status == http.StatusOK && body == text {
			return true
		}
		time.Sleep(retryDelay)
	}
	return false
}

// finalFault ends the processes of some machines at one moment, empties their disks and starts
// them again after downTime.
func (f *fleet) finalFault(lost ...*instance) {
	for _, p := range lost {
		f.signal(p, syscall.SIGKILL)
	}
	for _, p := range lost {
		<-p.ended
		f.wipe(p)
		f.restartFlag(p)
	}
	time.Sleep(downTime)
	for _, p := range lost {
		f.start(p)
	}
}

// awaitReady waits until all gateways are ready.
func (f *fleet) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for i := range f.gateways {
		for {
			status, _ := call(http.MethodGet, "http://"+f.address(gatewayHost(i), "ready")+"/v1/ready", "", time.Second)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				panic(errSetup{fmt.Errorf("gateway %d is not ready", i+1)})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// startAll starts three registries and the given number of gateways, and puts the first
// configuration in force.
func (f *fleet) startAll(gateways int, config string) {
	for i := range 3 {
		f.start(f.addControl(i, true))
	}
	for i := range gateways {
		f.start(f.addGateway(i))
	}
	if f.putConfig(1, config, time.Now().Add(20*time.Second)) == nil {
		panic(errSetup{fmt.Errorf("the first configuration is not acknowledged")})
	}
	f.awaitReady(10 * time.Second)
}

// object is a JSON object.
type object = map[string]any

func encode(v any) string {
	b, err := json.Marshal(v)
	must(err)
	return string(b)
}

// config returns a configuration like that of a small deployment.
func config(version int, routes, services []object, tenants []object) string {
	return encode(object{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

func plainRoute(name, kind, service string) object {
	return object{"name": name, "host": "a.example", "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": 4000, "slo-ms": 300, "priority": 1, "service": service, "max-attempts": 2, "allow-anonymous": false}
}

func plainService(name string) object {
	return object{"name": name, "health-path": "/health", "max-connections": 54, "protocol": "h1", "tls": false}
}

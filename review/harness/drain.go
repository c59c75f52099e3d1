package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// drainWait is drain-ms of the small sites, and a moment more.
	drainWait = 2500 * time.Millisecond
	// lateBy is how late the heartbeat of a server that has left arrives. By then, all
	// machines have run for contact-ms of the small sites, which is 3 s, and more.
	lateBy = 5 * time.Second
	// clockStep is how far a clock jumps.
	clockStep = 2 * time.Second
)

// say has a server send one heartbeat, to the next registry if one does not acknowledge it,
// and reports whether it was acknowledged.
func (s *server) say(state string, seq int) bool {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":8,"state":%q,"cold-left-ms":0,"seq":%d,"born":%d}`, s.service, s.address, state, seq, s.born)
	for i := 1; i <= 3; i++ {
		status, text := s.f.controlCall(i, http.MethodPut, "/v1/instances/"+s.id, body)
		s.f.rec.note("%s says %s, seq %d, born %d, to registry-%d: %d %s", s.id, state, seq, s.born, i, status, strings.TrimSpace(text))
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

// leave has a server send DELETE until it is acknowledged.
func (s *server) leave() bool {
	for i := 1; i <= 3; i++ {
		status, text := s.f.controlCall(i, http.MethodDelete, "/v1/instances/"+s.id, "")
		s.f.rec.note("%s leaves, at registry-%d: %d %s", s.id, i, status, strings.TrimSpace(text))
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

// runsSince sends requests to each gateway and returns how many of them a server has run.
func (f *fleet) runsSince(server, prefix string, gateways int) int {
	count := 0
	for g := 1; g <= gateways; g++ {
		for i := range checkedRequests {
			if a := f.request(g, fmt.Sprintf("%s-g%d-%02d", prefix, g, i), "/r/x"); a.header.Get("Hawthornhub-Server-Seal") == "seal-"+server {
				count++
			}
		}
	}
	return count
}

// startShops starts the core and servers of the service shop beside the first one, and has
// the operator send a route to that service.
func (f *fleet) startShops(others int) (*world, error) {
	if err := f.startCore(); err != nil {
		return nil, err
	}
	if _, err := f.put(20, shopDocument(20, "shop"), ackIn, 1, 2, 3); err != nil {
		return nil, err
	}
	w := newWorld()
	for i := 2; i <= 1+others; i++ {
		if _, err := f.startServer(fmt.Sprintf("shop-%d", i), "shop", w, shop); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// earlierBorn has a server crash and start again under its id, after the clock of its
// machine has jumped back if the trouble is wanted. The new start drains as planned.
func earlierBorn(f *fleet, trouble bool) (bool, error) {
	w, err := f.startShops(0)
	if err != nil {
		return false, err
	}
	first, err := f.newServer("shop-1", "shop", w, shop)
	if err != nil {
		return false, err
	}
	if trouble {
		f.rec.note("the clock of the machine of shop-1 is %v ahead", clockStep)
		first.born += clockStep.Milliseconds()
	}
	if !first.say("ready", 1) {
		return false, fmt.Errorf("shop-1 was not acknowledged")
	}
	time.Sleep(time.Second)
	first.crash()
	if trouble {
		f.rec.note("the clock of the machine of shop-1 is right again")
	}
	time.Sleep(500 * time.Millisecond)
	second, err := f.restartServer(first, w)
	if err != nil {
		return false, err
	}
	seq := 1
	for ; seq <= 4; seq++ {
		if !second.say("ready", seq) {
			return false, fmt.Errorf("shop-1 was not acknowledged")
		}
		time.Sleep(heartbeatInterval)
	}
	if runs := f.runsSince("shop-1", "before", 2); runs == 0 {
		f.rec.note("shop-1 gets no requests while it is ready")
	}
	if !second.say("draining", seq) {
		return false, fmt.Errorf("that shop-1 drains was not acknowledged")
	}
	time.Sleep(drainWait)
	runs := f.runsSince("shop-1", "after", 2)
	f.rec.note("sent %v after it was acknowledged that shop-1 drains: shop-1 has run %d of %d", drainWait, runs, 2*checkedRequests)
	return runs > 0, nil
}

// restartServer starts a server again under its id and at its address.
func (f *fleet) restartServer(before *server, w *world) (*server, error) {
	return f.newServerAt(before.address, before.id, before.service, w, shop)
}

// goneThenKilled has a server leave. If the trouble is wanted, all processes are killed
// right after that and are back within a second. A heartbeat that the server had sent
// before it left arrives seconds late.
func goneThenKilled(f *fleet, trouble bool) (bool, error) {
	w, err := f.startShops(3)
	if err != nil {
		return false, err
	}
	leaving, err := f.newServer("shop-1", "shop", w, shop)
	if err != nil {
		return false, err
	}
	if !leaving.say("ready", 1) {
		return false, fmt.Errorf("shop-1 was not acknowledged")
	}
	time.Sleep(heartbeatInterval)
	f.rec.note("shop-1 sends its heartbeat of seq 2, which will arrive late")
	if !leaving.leave() {
		return false, fmt.Errorf("that shop-1 leaves was not acknowledged")
	}
	left := time.Now()
	time.Sleep(300 * time.Millisecond)
	if trouble {
		if err := f.killAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(left.Add(lateBy)))
	if !leaving.say("ready", 2) {
		f.rec.note("the late heartbeat is not acknowledged")
	}
	runs := f.runsSince("shop-1", "after", 2)
	f.rec.note("sent %v after it was acknowledged that shop-1 is gone: shop-1 has run %d of %d", time.Since(left), runs, 2*checkedRequests)
	return runs > 0, nil
}

// killAll kills all processes at once and starts them again.
func (f *fleet) killAll() error {
	names := []string{"registry-1", "registry-2", "registry-3", "gateway-1", "gateway-2"}
	for _, name := range names {
		if err := f.signal(name, syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, name := range names {
		if err := f.end(name, syscall.SIGKILL); err != nil {
			f.rec.note("%v", err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for i := 1; i <= 3; i++ {
		if err := f.startRegistry(i, false); err != nil {
			return err
		}
	}
	for i := 1; i <= 2; i++ {
		if err := f.startGateway(i); err != nil {
			return err
		}
	}
	return nil
}

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// contactTime is the bound contact-ms of the small deployments.
	contactTime = 3 * time.Second
	// formationLimit is how long the first configuration is sent again.
	formationLimit = 30 * time.Second
	// recoverTime is the bound recover-s of the large deployment, largeContactTime its
	// contact-ms, and downTime how long the machines of the final fault are down.
	recoverTime      = 15 * time.Second
	largeContactTime = 5 * time.Second
	downTime         = 1100 * time.Millisecond
	// clientTimeout is the time limit of the clients.
	clientTimeout = 4 * time.Second
)

func tenants() []object {
	return []object{{"name": "north", "api-keys": []string{"k1"}, "priority": 1}, {"name": "south", "api-keys": []string{"k2"}, "priority": 1}}
}

// lostConfig starts five control machines with a disk, of which two may be lost at once, for the
// first time. Right after the first acknowledgement, the machine that has given it and another
// one lose their disks. The configuration has to be read back.
func lostConfig(f *fleet, trouble bool) bool {
	f.faults = 2
	for i := range 5 {
		f.start(f.addControl(i, true))
	}
	for i := range 2 {
		f.start(f.addGateway(i))
	}
	text := config(1, []object{plainRoute("safe", "safe", "shop")}, []object{plainService("shop")}, tenants())
	giver := f.putConfig(1, text, time.Now().Add(formationLimit))
	if giver == nil {
		panic(errSetup{fmt.Errorf("the first configuration is not acknowledged")})
	}
	if trouble {
		other := f.controls[0]
		if other == giver {
			other = f.controls[1]
		}
		f.finalFault(giver, other)
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(recoverTime)
	for _, p := range f.controls {
		f.rec.printf("process %s runs: %v", p.name, p.alive())
	}
	return !f.readBack(text, time.Now().Add(2*largeContactTime))
}

// anonymous adds a route for some of the paths of another one, which allows requests without a
// key. The clients of these paths go on as before, with their keys: the server has to get
// their tenants.
func anonymous(f *fleet, trouble bool) bool {
	const path = "/orders/open/x"
	routes := []object{plainRoute("orders", "unsafe", "shop")}
	f.startAll(2, config(1, routes, []object{plainService("shop")}, tenants()))
	s := f.newServer("i-1", "shop")
	f.awaitServed(2, path, "k1")
	if trouble {
		open := plainRoute("open", "unsafe", "shop")
		open["path-prefix"], open["allow-anonymous"] = "/orders/open/", true
		if f.putConfig(2, config(2, append(routes, open), []object{plainService("shop")}, tenants()), time.Now().Add(10*time.Second)) == nil {
			panic(errSetup{fmt.Errorf("the second configuration is not acknowledged")})
		}
	}
	time.Sleep(contactTime)
	wrong, served := 0, 0
	for i := range 20 {
		id, key, tenant := fmt.Sprint("b", i), "k1", "north"
		if i%2 == 1 {
			key, tenant = "k2", "south"
		}
		a := f.request(i/2%2, id, path, key, clientTimeout)
		head, ran := s.ran(id)
		if a.status == http.StatusOK {
			served++
		}
		if got := head.Get("Hawthornhub-Tenant"); ran && got != tenant {
			wrong++
			f.rec.printf("server ran %s with tenant %q; the key belongs to %q", id, got, tenant)
		}
	}
	f.rec.printf("%d requests, %d served, %d run without the tenant that holds the key", 20, served, wrong)
	if served == 0 {
		panic(errSetup{fmt.Errorf("no request was served")})
	}
	return wrong > 0
}

const (
	// graceTime is grace-s of the sites, and restartDelay the pause before a process that has
	// ended is started again. The platform tries maxStarts times here.
	graceTime    = 8 * time.Second
	restartDelay = 500 * time.Millisecond
	maxStarts    = 5
	// hupShare is the largest share of processes that get SIGHUP on the sites.
	hupShare = 0.6
	// startTime is how long a process has to run to count as started.
	startTime = time.Second
)

// fraction changes the field grace-s in the settings of all processes, some of them with SIGHUP,
// and then stops and starts the processes in turn. All of them have to start again.
func fraction(f *fleet, trouble bool) bool {
	f.startAll(2, config(1, []object{plainRoute("safe", "safe", "shop")}, []object{plainService("shop")}, tenants()))
	f.newServer("i-1", "shop")
	f.awaitServed(2, "/safe/x", "k1")
	all := append(append([]*instance{}, f.controls...), f.gateways...)
	if trouble {
		for i, p := range all {
			f.setGrace(p, "7.5")
			// The other settings change without a signal.
			if float64(i) < hupShare*float64(len(all)) {
				f.signal(p, syscall.SIGHUP)
			}
		}
		time.Sleep(contactTime)
	}
	missing := 0
	for _, p := range all {
		if !f.restart(p) {
			missing++
		}
	}
	time.Sleep(contactTime)
	served := 0
	for i := range 20 {
		if f.request(i%2, fmt.Sprint("c", i), "/safe/x", "k1", clientTimeout).status == http.StatusOK {
			served++
		}
	}
	f.rec.printf("%d of %d processes did not start again, %d of 20 requests served", missing, len(all), served)
	return missing > 0 || served == 0
}

// restart stops an instance as planned and starts it again, and reports whether it runs.
func (f *fleet) restart(p *instance) bool {
	f.signal(p, syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(graceTime):
		f.kill(p)
	}
	f.restartFlag(p)
	for range maxStarts {
		time.Sleep(restartDelay)
		f.start(p)
		select {
		case <-time.After(startTime):
			return true
		case <-p.ended:
			f.rec.printf("process %s ended at its start: %v", p.name, p.cmd.ProcessState)
		}
	}
	return false
}

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// ackTime is the bound ack-ms of the small deployments, contactTime contact-ms.
	ackTime     = 4 * time.Second
	contactTime = 3 * time.Second
	// formationLimit is how long the first configuration is sent again. It is many times
	// contactTime and ackTime together.
	formationLimit = 50 * time.Second
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

// firstStart kills the process of one control machine 0.2 s after it was started for the first
// time, and starts it again with bootstrap=false, as the platform does. The first
// configuration has to be acknowledged.
func firstStart(f *fleet, trouble bool) bool {
	first := f.addControl(0, true)
	f.start(first)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		f.kill(first)
		f.restartFlag(first)
	}
	for i := 1; i < 3; i++ {
		f.start(f.addControl(i, true))
	}
	for i := range 2 {
		f.start(f.addGateway(i))
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		f.start(first)
	}
	restarted := time.Now()
	text := config(1, []object{plainRoute("safe", "safe", "shop")}, []object{plainService("shop")}, tenants())
	acked := f.putConfig(1, text, restarted.Add(formationLimit)) != nil
	took := time.Since(restarted)
	f.rec.printf("acknowledged: %v, %.1f s after the last start", acked, took.Seconds())
	for _, p := range f.controls {
		f.rec.printf("process %s runs: %v", p.name, p.alive())
	}
	return !acked || took > contactTime+ackTime
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

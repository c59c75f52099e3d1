package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { scenes["unsealed"] = unsealed }

const (
	// garbleServers is the number of servers, of which garblers spoil garbleShare of their
	// answers for garbleTime.
	garbleServers = 18
	garblers      = 9
	garbleShare   = 0.05
	garbleTime    = 5 * time.Second
	// garbleGateways is the number of gateways.
	garbleGateways = 5
	// garbleRate is the requests a second.
	garbleRate = 60
	// wrongBytes is what a server hands out in place of an answer: it has neither the id of
	// the request nor a seal.
	wrongBytes = "<html>it works so far</html>"
)

// unsealed has servers hand out wrong bytes now and then.
func unsealed(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, garbleGateways)
	if err != nil {
		return false, err
	}
	defer f.close()
	for i := range garbleServers {
		s := f.newServer(fmt.Sprintf("i-api%d", i), "api", zoneOf(i%3), 6)
		spoils := trouble && i < garblers
		s.before = func(w http.ResponseWriter, q *http.Request) bool {
			id := q.Header.Get("Hawthornhub-Attempt-Id")
			if id == "" || !spoils || rand.Float64() >= garbleShare {
				return false
			}
			r.add("server %s hands out wrong bytes for %s: %q", s.id, id, wrongBytes)
			io.WriteString(w, wrongBytes)
			return true
		}
		if err := s.start(""); err != nil {
			return false, err
		}
	}
	if _, err := f.putConfig(bookingDocument(7)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	t := &tally{counts: map[string]int{}}
	load(garbleRate, garbleTime, func(i int) {
		kind, a := "safe", answer{}
		if i%2 == 0 {
			a = sendStatus(f, i)
		} else {
			kind, a = "unsafe", sendBooking(f, i, "van")
		}
		t.add(kind, a)
		if a.err == nil && a.status/100 == 2 && a.header.Get("Hawthornhub-Server-Seal") == "" {
			t.add("unsealed "+kind, a)
			r.add("client %s got a success without a seal: %q", a.id, a.body)
		}
	})
	fmt.Println(t.counts)
	r.add("%v", t.counts)
	if 2*(t.get("safe 200")+t.get("unsafe 200")) < int(garbleRate*garbleTime.Seconds()) {
		return false, errors.New("the fleet doesn't serve most requests")
	}
	return t.get("unsealed safe sent")+t.get("unsealed unsafe sent") > 0, nil
}

package main

import (
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
	garbleServers = 8
	garblers      = 4
	garbleShare   = 0.05
	garbleTime    = 5 * time.Second
	// garbleRate is the requests a second.
	garbleRate = 60
)

// wrongBytes returns what a server hands out in place of an answer: the beginning of its own
// head, without the seal, and a foreign body.
func wrongBytes(id string) string {
	const body = "<html>it works so far</html>"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nHawthornhub-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// unsealed has servers hand out wrong bytes now and then.
func unsealed(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	for i := range garbleServers {
		s := f.newServer(fmt.Sprintf("i-api%d", i), "api", zoneOf(i%3), 6)
		spoils := trouble && i < garblers
		s.before = func(w http.ResponseWriter, q *http.Request) bool {
			if !spoils || rand.Float64() >= garbleShare {
				return false
			}
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return false
			}
			defer c.Close()
			text := wrongBytes(q.Header.Get("Hawthornhub-Attempt-Id"))
			r.add("server %s hands out wrong bytes for %s: %q", s.id, q.Header.Get("Hawthornhub-Attempt-Id"), text)
			io.WriteString(c, text)
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
	return t.get("unsealed safe sent")+t.get("unsealed unsafe sent") > 0, nil
}

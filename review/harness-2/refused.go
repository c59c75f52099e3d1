package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenes["refused-after-run"] = refusedAfterRun }

const (
	// bookingServers is the number of servers of the booking service. One of them fails, a
	// share of 0.125.
	bookingServers = 8
	// failShare is the share of its requests that it fails.
	failShare = 0.45
	// failTime is how long it does, and bookingTime how long clients book, at bookingRate a
	// second: that of dispatch-boek.
	failTime    = 6500 * time.Millisecond
	bookingTime = 8 * time.Second
	bookingRate = 16
)

// bookingDocument returns a configuration with a route whose requests may run once.
func bookingDocument(version int) object {
	d := document(version, nil)
	d["routes"] = append(d["routes"].([]object), object{
		"name": "book", "host": "book.example", "path-prefix": "/book/", "kind": "unsafe", "timeout-ms": 2000,
		"slo-ms": 300, "priority": 2, "service": "api", "max-attempts": 1, "allow-anonymous": true,
	})
	return d
}

// sendBooking sends a request that may run once.
func sendBooking(f *fleet, i int, name string) answer {
	h := map[string]string{"Hawthornhub-Time-Left-Ms": "4000"}
	return f.request(i%f.gateways, "POST", "book.example", "/book/x", h, name, 4*time.Second)
}

// ledger holds what was booked, by booking: the attempts that have run.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]string
	// ran holds the attempts that have run.
	ran map[string]bool
}

func (l *ledger) book(booking, attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[booking] = append(l.runs[booking], attempt)
	l.ran[attempt] = true
}

// refusedAfterRun has one server run requests and then fail to say so: it answers 503 without
// Hawthornhub-Not-Executed.
func refusedAfterRun(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	begin := time.Now()
	l := &ledger{runs: map[string][]string{}, ran: map[string]bool{}}
	for i := range bookingServers {
		s := f.newServer(fmt.Sprintf("i-api%d", i), "api", zoneOf(i%3), 6)
		fails := trouble && i == 0
		s.before = func(w http.ResponseWriter, q *http.Request) bool {
			if q.Method != http.MethodPost {
				return false
			}
			text, _ := io.ReadAll(q.Body)
			id := q.Header.Get("Hawthornhub-Attempt-Id")
			time.Sleep(s.work)
			l.book(string(text), id)
			w.Header().Set("Hawthornhub-Attempt-Id", id)
			w.Header().Set("Hawthornhub-Server-Seal", "seal-"+s.id+"-"+id)
			w.Header().Set("Hawthornhub-Server-Load", "1,0,6")
			l.mu.Lock()
			now := fails && time.Since(begin) < failTime
			l.mu.Unlock()
			if now && rand.Float64() < failShare {
				r.add("server %s ran %s for %s and answers 503", s.id, id, text)
				w.WriteHeader(http.StatusServiceUnavailable)
				io.WriteString(w, "booked, but the confirmation could not be made")
				return true
			}
			r.add("server %s ran %s for %s", s.id, id, text)
			io.WriteString(w, "booked "+string(text))
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
	l.mu.Lock()
	begin = time.Now()
	l.mu.Unlock()
	var mu sync.Mutex
	counts := map[string]int{}
	load(bookingRate, bookingTime, func(i int) {
		name := fmt.Sprintf("van-%03d", i)
		for try := range 2 {
			a := sendBooking(f, i+try, name)
			l.mu.Lock()
			refusedRun := promised(a) && l.ran[a.id]
			l.mu.Unlock()
			mu.Lock()
			counts[fmt.Sprintf("status %d", a.status)]++
			if refusedRun {
				counts["refused and run"]++
				r.add("attempt %s for %s was answered %d and had run: %s", a.id, name, a.status, strings.TrimSpace(a.body))
			}
			mu.Unlock()
			// Unsafe requests are sent again after a promise alone.
			if !promised(a) {
				return
			}
		}
	})
	for name, attempts := range l.runs {
		if len(attempts) > 1 {
			counts["booked twice"]++
			r.add("%s was booked by %s", name, strings.Join(attempts, " and "))
		}
	}
	fmt.Println(counts)
	r.add("%v", counts)
	if 2*counts["status 200"] < int(bookingRate*bookingTime.Seconds()) {
		return false, errors.New("the fleet doesn't serve most bookings")
	}
	return counts["refused and run"] > 0, nil
}

// promised reports whether an answer says that the request has not run and never will.
func promised(a answer) bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return a.err == nil
	default:
		return false
	}
}

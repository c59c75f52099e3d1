package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/rendezvous"
)

const (
	// hungRequests is the number of requests that come while a gateway stands still.
	hungRequests = 16
	// quietFor is how long after the start of the freeze they come.
	quietFor = 1400 * time.Millisecond
	// gatewayFreeze is how long a gateway stands still; the longest freeze in the site
	// file is 6.9 s.
	gatewayFreeze = 6500 * time.Millisecond
	// routeTimeout is timeout-ms of the route, and answerSlack how much later an answer may
	// come.
	routeTimeout = 4 * time.Second
	answerSlack  = 500 * time.Millisecond
)

// frozenOwner lets a gateway stand still that collects the pieces of a stage for all
// gateways. A second later, after a quiet moment, requests come to another gateway.
func frozenOwner(f *fleet, trouble bool) (bool, error) {
	if err := f.startCore(); err != nil {
		return false, err
	}
	if err := f.startGateway(3); err != nil {
		return false, err
	}
	w := newWorld()
	if _, err := f.startServer("llm-1", "llm", w, engine); err != nil {
		return false, err
	}
	for i := 1; i <= 2; i++ {
		if _, err := f.startServer(fmt.Sprint("scan-", i), "stage0", w, pieceWorker(func(item) bool { return false })); err != nil {
			return false, err
		}
	}
	if _, err := f.put(20, stagedDocumentWith(20, routeTimeout, ""), ackIn, 1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	owner, _ := rendezvous.Best("stage0", []int{1, 2, 3}, func(i int) string { return fmt.Sprintf("%s:%d", gatewayHost(i), f.linkPort) })
	other := owner%3 + 1
	for i := range 3 {
		if a := f.plan(other, fmt.Sprintf("warm%d", i), "1"); a.status != http.StatusOK {
			return false, fmt.Errorf("before the disruption a request was answered with %d, %v", a.status, a.err)
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := f.signal(fmt.Sprint("gateway-", owner), syscall.SIGSTOP); err != nil {
			return false, err
		}
		time.AfterFunc(gatewayFreeze, func() { _ = f.signal(fmt.Sprint("gateway-", owner), syscall.SIGCONT) })
	}
	time.Sleep(quietFor)
	var clients sync.WaitGroup
	var mu sync.Mutex
	past, late := 0, 0
	for i := range hungRequests {
		clients.Add(1)
		go func() {
			defer clients.Done()
			start := time.Now()
			id := fmt.Sprintf("h%02d", i)
			a := f.plan(other, id, "1")
			took := time.Since(start)
			f.rec.note("request %s took %v", id, took.Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if a.err == nil && took > routeTimeout {
				past++
			}
			if took > routeTimeout+answerSlack {
				late++
				f.rec.note("SEEN: %s has no final answer %v after the route's timeout", id, answerSlack)
			}
		}()
	}
	clients.Wait()
	f.rec.note("of %d requests, %d had no final answer %v after the route's timeout of %v", hungRequests, late, answerSlack, routeTimeout)
	return late >= 8 && 4*late > hungRequests, nil
}

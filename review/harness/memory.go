package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is memory-mb of the small site, in kB as the kernel counts.
	memoryLimit = 284 << 10
	// largeBody is max-body-bytes, usualBody the largest body in the small site's file.
	largeBody, usualBody = 4194304, 72000
	// uploads is the number of clients of a gateway that send at the same time.
	uploads = 80
	// endsToBreak is how often a process has to end by itself.
	endsToBreak = 3
)

// residentKB returns the resident memory of a process, 0 if it is gone.
func (f *fleet) residentKB(name string) int {
	cmd := f.proc(name)
	if cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb
		}
	}
	return 0
}

// upload sends a request with a body and reads the answer.
func (f *fleet) upload(gateway int, id string, body []byte) answer {
	c, err := net.DialTimeout("tcp", f.gatewayAddress(gateway), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return answer{err: err}
	}
	if _, err := fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: %s\r\nHawthornhub-Attempt-Id: %s\r\nHawthornhub-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		f.host, id, requestTimeout.Milliseconds(), len(body)); err != nil {
		return answer{err: err}
	}
	if _, err := c.Write(body); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: string(text), err: err}
}

// watchMemory kills a gateway, as the platform does, when it uses more memory than it may,
// and starts it again. It returns how often it did, once done is closed.
func (f *fleet) watchMemory(gateway int, done <-chan struct{}) int {
	name, ends := fmt.Sprint("gateway-", gateway), 0
	for {
		select {
		case <-done:
			return ends
		case <-time.After(10 * time.Millisecond):
		}
		kb := f.residentKB(name)
		if kb <= memoryLimit {
			continue
		}
		ends++
		f.rec.note("SEEN: %s uses %d kB and may use %d", name, kb, memoryLimit)
		if err := f.end(name, syscall.SIGKILL); err != nil {
			f.rec.note("%v", err)
		}
		time.Sleep(500 * time.Millisecond)
		if err := f.startGateway(gateway); err != nil {
			f.rec.note("%v", err)
		}
	}
}

// largeBodies lets many clients at once send bodies as large as the limit allows, if the
// trouble is wanted, else bodies of the usual size.
func largeBodies(f *fleet, trouble bool) (bool, error) {
	if err := f.startCore(); err != nil {
		return false, err
	}
	w := newWorld()
	slow := func(s *server) func(r *http.Request, body []byte) response {
		answer := shop(s)
		return func(r *http.Request, body []byte) response {
			time.Sleep(time.Second)
			return answer(r, body)
		}
	}
	for i := 1; i <= 8; i++ {
		if _, err := f.startServer(fmt.Sprintf("shop-%d", i), "shop", w, slow); err != nil {
			return false, err
		}
	}
	if _, err := f.put(20, shopDocument(20, "shop"), ackIn, 1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(applyWait)
	body := bytes.Repeat([]byte("x"), usualBody)
	if trouble {
		body = bytes.Repeat([]byte("x"), largeBody)
	}
	done := make(chan struct{})
	ends := make([]int, 3)
	var watchers, clients sync.WaitGroup
	for g := 1; g <= 2; g++ {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			ends[g] = f.watchMemory(g, done)
		}()
	}
	for round := 1; round <= endsToBreak; round++ {
		for g := 1; g <= 2; g++ {
			for i := range uploads {
				clients.Add(1)
				go func() {
					defer clients.Done()
					id := fmt.Sprintf("u%d-g%d-%02d", round, g, i)
					a := f.upload(g, id, body)
					f.rec.note("client gets for %s: %d, %v", id, a.status, a.err)
				}()
			}
		}
		clients.Wait()
		time.Sleep(catchUp)
	}
	close(done)
	watchers.Wait()
	f.rec.note("ended by themselves, with more memory than they may use: gateway-1 %d times, gateway-2 %d times", ends[1], ends[2])
	return ends[1] >= endsToBreak && ends[2] >= endsToBreak, nil
}

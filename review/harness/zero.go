package main

import (
	"net/http"
	"time"
)

// versionZero sends the first configuration of a new system, numbered 0 if the trouble is
// wanted, else 1, and reads it back.
func versionZero(f *fleet, trouble bool) (bool, error) {
	for i := 1; i <= 3; i++ {
		if err := f.startRegistry(i, true); err != nil {
			return false, err
		}
	}
	for i := 1; i <= 2; i++ {
		if err := f.startGateway(i); err != nil {
			return false, err
		}
	}
	w := newWorld()
	if _, err := f.startServer("shop-1", "shop", w, shop); err != nil {
		return false, err
	}
	version := 1
	if trouble {
		version = 0
	}
	if _, err := f.put(version, shopDocument(version, "shop"), ackIn, 1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(applyWait)
	served := 0
	for i := range checkedRequests {
		if a := f.request(1, "z"+string(rune('a'+i)), "/r/x"); a.status == http.StatusOK {
			served++
		}
	}
	came := false
	for end := time.Now().Add(readBackFor); time.Now().Before(end); {
		for i := 1; i <= 3; i++ {
			status, text := f.controlCall(i, http.MethodGet, "/v1/config", "")
			came = came || status == http.StatusOK
			if time.Until(end) < time.Second {
				f.rec.note("read back at registry-%d: %d, %.60s", i, status, text)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.rec.note("version %d was acknowledged; read back in %v: %t; requests served: %d of %d", version, readBackFor, came, served, checkedRequests)
	return !came, nil
}

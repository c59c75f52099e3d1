package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenes["first-start"] = firstStart }

const (
	// lastStart is when the last of the three machines starts: all start within 0.3 s.
	lastStart = 250 * time.Millisecond
	// replacedAfter is when the machine that takes the place of the lost one starts.
	replacedAfter = 3 * time.Second
	// formLimit is how long the fleet may take to accept its first configuration, many times
	// catch-up-s and recover-s.
	formLimit = 40 * time.Second
	// probeCount is the number of requests that are sent then.
	probeCount = 40
)

// firstStart starts the whole system for the first time. The last of the three machines with
// a disk to start is lost for good at once, and an empty one at another address replaces it.
func firstStart(r *record, trouble bool) (bool, error) {
	f, err := newFleetWith(r, 2, func(_ *fleet, i int) bool { return i == 2 })
	if err != nil {
		return false, err
	}
	defer f.close()
	time.Sleep(lastStart)
	if err := f.startRegistry(2, true); err != nil {
		return false, err
	}
	if trouble {
		f.kill("registry-2")
		f.forget("registry-2")
	}
	s := f.newServer("i-api0", "api", zoneOf(0), 6)
	if err := s.start(""); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(replacedAfter)
		// The new machine is registry-3. All settings name it as a seed in place of the lost one.
		f.registries = []int{0, 1, 3}
		if err := f.startRegistry(3, false); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		if err := f.reloadAll(); err != nil {
			return false, err
		}
	}
	_, err = f.putConfigWithin(document(7, nil), formLimit)
	r.add("first configuration: error %v", err)
	names := []string{"gateway-0", "gateway-1"}
	for _, i := range f.registries {
		names = append(names, fmt.Sprintf("registry-%d", i))
	}
	for _, name := range names {
		if !f.running(name) {
			return false, fmt.Errorf("%s has ended", name)
		}
	}
	served := 0
	for i := range probeCount {
		if a := sendStatus(f, i); a.status == 200 {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	fmt.Println("first configuration:", err, "served:", served, "of", probeCount)
	r.add("served %d of %d", served, probeCount)
	if !trouble && 2*served < probeCount {
		return false, errors.New("the fleet doesn't serve requests without the disruption")
	}
	return served == 0, nil
}

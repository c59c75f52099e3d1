package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// readBackFor is how long the operator reads back at the end; contact-ms is 3 s.
	readBackFor = 6 * time.Second
	// recoverIn is the time until then after the last machine is back; recover-s is 12.
	recoverIn = 15 * time.Second
	// downFor is how long a machine without power stays down.
	downFor = 3 * time.Second
	ackIn   = 10 * time.Second
)

// startCore starts three registries and two gateways, and sends the first configuration.
func (f *fleet) startCore() error {
	for i := 1; i <= 3; i++ {
		if err := f.startRegistry(i, true); err != nil {
			return err
		}
	}
	for i := 1; i <= 2; i++ {
		if err := f.startGateway(i); err != nil {
			return err
		}
	}
	if _, err := f.put(10, plainDocument(10), ackIn, 1, 2, 3); err != nil {
		return err
	}
	time.Sleep(catchUp)
	return nil
}

// wipeAfterAck has a registry acknowledge a version. Right after that, its machine loses
// power and disk, and comes back with an empty one if the trouble is wanted.
func (f *fleet) wipeAfterAck(version, registry int, trouble bool) error {
	if _, err := f.put(version, plainDocument(version), time.Second, registry); err != nil {
		return err
	}
	if !trouble {
		return nil
	}
	if err := f.end(fmt.Sprint("registry-", registry), syscall.SIGKILL); err != nil {
		return err
	}
	if err := f.loseDisk(registry); err != nil {
		return err
	}
	time.Sleep(downFor)
	return f.startRegistry(registry, false)
}

// checkReadBack reads the configuration back after the time for recovery and reports
// whether what was acknowledged is gone.
func (f *fleet) checkReadBack(acked int, registries ...int) bool {
	time.Sleep(recoverIn)
	newest := f.readBack(readBackFor, registries...)
	f.rec.note("newest version acknowledged: %d; newest read back in %v at %d registries: %d", acked, readBackFor, len(registries), newest)
	return newest < acked
}

// replacedThenWiped replaces registry 3 as planned: registry 4 starts first, and has more
// than catch-up-s before registry 3 is stopped. When registry 3 has been gone for another
// catch-up-s, registry 2 loses its disk right after an acknowledgement.
func replacedThenWiped(f *fleet, trouble bool) (bool, error) {
	if err := f.startCore(); err != nil {
		return false, err
	}
	if err := f.startRegistry(4, false); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	if err := f.end("registry-3", syscall.SIGTERM); err != nil {
		return false, err
	}
	if err := f.loseDisk(3); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	if err := f.wipeAfterAck(12, 2, trouble); err != nil {
		return false, err
	}
	return f.checkReadBack(12, 1, 2, 4), nil
}

// freezeFor is how long a machine stands still; the longest freeze of a day in the site
// files is 6.9 s.
const freezeFor = 6 * time.Second

// removedWhileAlive replaces registry 3 as planned. Between the start of the new one and
// the stop of the old one, registry 2 stands still for a few seconds. Long after all that,
// registry 1 loses its disk right after an acknowledgement.
func removedWhileAlive(f *fleet, trouble bool) (bool, error) {
	if err := f.startCore(); err != nil {
		return false, err
	}
	if err := f.startRegistry(4, false); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	if trouble {
		if err := f.signal("registry-2", syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	time.Sleep(freezeFor)
	if trouble {
		if err := f.signal("registry-2", syscall.SIGCONT); err != nil {
			return false, err
		}
	}
	time.Sleep(catchUp)
	if err := f.end("registry-3", syscall.SIGTERM); err != nil {
		return false, err
	}
	if err := f.loseDisk(3); err != nil {
		return false, err
	}
	time.Sleep(3 * catchUp)
	if err := f.wipeAfterAck(12, 1, true); err != nil {
		return false, err
	}
	return f.checkReadBack(12, 1, 2, 4), nil
}

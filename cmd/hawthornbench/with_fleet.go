package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// withFleet starts a fleet in a temporary directory, calls run with it and stops
// it. The directory is kept if anything failed. SIGINT and SIGTERM stop the
// fleet's processes as well.
func withFleet(spec fleetSpec, run func(*fleet) error) error {
	dir, err := os.MkdirTemp("", "hawthornbench-")
	if err != nil {
		return err
	}
	f, err := startFleet(dir, spec)
	if err != nil {
		return fmt.Errorf("%w; the logs are in %s", err, dir)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- run(f) }()
	select {
	case err = <-done:
	case <-ctx.Done():
		err = errors.New("interrupted")
	}
	err = errors.Join(err, f.stop())
	if err != nil {
		return fmt.Errorf("%w; the logs are in %s", err, dir)
	}
	return os.RemoveAll(dir)
}

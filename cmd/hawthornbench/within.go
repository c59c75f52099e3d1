package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// inFleet runs do with a fleet in a temporary folder, which is kept where
// something failed. SIGINT and SIGTERM stop the fleet's processes as well.
func inFleet(spec fleetSpec, do func(*fleet) error) error {
	dir, err := os.MkdirTemp("", "hawthornbench-")
	if err != nil {
		return err
	}
	f, err := startFleet(dir, spec)
	if err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- do(f) }()
	select {
	case err = <-done:
	case <-ctx.Done():
		err = errors.New("interrupted")
	}
	err = errors.Join(err, f.stop())
	if err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	return os.RemoveAll(dir)
}

package replica

import (
	"context"
	"errors"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/state/disk"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
)

// fillableFS is a data folder on a disk that can be made full.
type fillableFS struct {
	disk.FS
	full *atomic.Bool
	// open counts the files that are open.
	open *atomic.Int64
}

type fillableFile struct {
	disk.File
	full *atomic.Bool
	open *atomic.Int64
}

func (s fillableFS) wrap(f disk.File, err error) (disk.File, error) {
	if err != nil {
		return nil, err
	}
	s.open.Add(1)
	return fillableFile{f, s.full, s.open}, nil
}

func (s fillableFS) Create(name string) (disk.File, error) { return s.wrap(s.FS.Create(name)) }

func (s fillableFS) Append(name string) (disk.File, error) { return s.wrap(s.FS.Append(name)) }

// Write fails with ENOSPC while the disk is full, after a part of b.
func (f fillableFile) Write(b []byte) (int, error) {
	if !f.full.Load() {
		return f.File.Write(b)
	}
	n, err := f.File.Write(b[:len(b)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

func (f fillableFile) Close() error {
	f.open.Add(-1)
	return f.File.Close()
}

// A leader whose disk is full is replaced but keeps running, and catches up once
// there is space again. No committed claim is lost.
func TestLeaderWithFullDiskIsReplaced(t *testing.T) {
	g := newGroup(t)
	c := g.client()
	g.mustClaim(c, 0)
	full := g.leader()
	full.diskFull.Store(true)
	for n := range 5 {
		g.mustClaim(c, 1+n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var diskFull *DiskFullError
	if err := full.replica.Read(ctx, func(*fsm.Machine) {}); !errors.As(err, &diskFull) {
		t.Errorf("read from the instance with a full disk: %v, want a DiskFullError", err)
	}
	full.diskFull.Store(false)
	g.waitFor("the instance to catch up", func() bool { return full.replica.Status().ClaimCount == 6 })
}

// fullDiskRounds is how often each disk is full in TestDisksFullOneAfterAnother.
const fullDiskRounds = 3

// Disks that are full for a while, one after another, must not leave a group that accepts no
// changes once all have room again: whether its members lag, are replaced as voters meanwhile, or
// have a snapshot to write.
func TestDisksFullOneAfterAnother(t *testing.T) {
	for name, tt := range map[string]struct {
		standbys int
		length   time.Duration
	}{
		"short, three voters":           {0, 150 * time.Millisecond},
		"long, three voters":            {0, 600 * time.Millisecond},
		"short, a standby":              {1, 150 * time.Millisecond},
		"long, a standby":               {1, 600 * time.Millisecond},
		"replaced, two standbys":        {2, 900 * time.Millisecond},
		"as long as a removal, standby": {1, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newUnlistedGroup(t, 3, 3)
			for range tt.standbys {
				address := freeAddress(t)
				m := &testReplica{name: address, address: address, dir: filepath.Join(t.TempDir(), "standby")}
				g.replicas = append(g.replicas, m)
				g.startOfThree(m)
				g.waitFor("a standby to be a learner", m.isLearner)
			}
			// The client knows all instances: each may come to lead.
			g.peers = nil
			for _, m := range g.replicas {
				g.peers = append(g.peers, control.Address{Name: m.name, Link: m.address})
			}
			w := &fullDiskWriter{group: g, client: g.client()}
			w.write()
			filled := make(chan struct{})
			go func() {
				defer close(filled)
				g.fillDisks(tt.length)
			}()
			for writing := true; writing; {
				w.write()
				select {
				case <-filled:
					writing = false
				default:
				}
			}
			for range g.replicas {
				w.write()
				ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
				g.leader().replica.TransferLeadership(ctx)
				cancel()
			}
			w.write()
			for _, m := range g.replicas {
				g.waitFor(m.name+" to catch up", func() bool { return m.replica.Status().ClaimCount == w.claims })
				if got, want := m.openFiles.Load(), int64(1); got != want {
					t.Errorf("%s has %d files open, want %d", m.name, got, want)
				}
			}
		})
	}
}

// fullDiskWriter changes the state of a group.
type fullDiskWriter struct {
	group   *group
	client  *control.Client
	claims  int
	version uint64
}

// write claims a key and sends a document twice, as an operator does who gets no answer.
func (w *fullDiskWriter) write() {
	w.group.mustClaim(w.client, w.claims)
	w.claims++
	w.version++
	for range 2 {
		ctx, cancel := context.WithTimeout(w.group.t.Context(), waitTimeout)
		_, err := w.client.Propose(ctx, adoptCommand(w.version))
		cancel()
		if err != nil {
			w.group.t.Fatalf("document %d: %v", w.version, err)
		}
	}
}

// fillDisks makes the disk of each replica full for a time, one after another.
func (g *group) fillDisks(length time.Duration) {
	for range fullDiskRounds {
		for _, m := range g.replicas {
			m.diskFull.Store(true)
			time.Sleep(length)
			m.diskFull.Store(false)
		}
	}
}

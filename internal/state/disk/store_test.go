package disk

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/test/seed"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// TestMain fixes the seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

// memory is a folder whose unsynced writes are lost in a crash.
type memory struct {
	synced map[string][]byte
	now    map[string][]byte
	// failSync makes the next sync fail.
	failSync bool
	// room is the number of bytes that may still be written; negative is no
	// limit.
	room int
	// failAfter counts down the operations before one fails; 0 is never.
	failAfter int
}

var errCrash = errors.New("crash")

// op counts an operation and returns an error where the crash is due.
func (m *memory) op() error {
	if m.failAfter == 0 {
		return nil
	}
	m.failAfter--
	if m.failAfter == 0 {
		return errCrash
	}
	return nil
}

func newMemory() *memory {
	return &memory{synced: make(map[string][]byte), now: make(map[string][]byte), room: -1}
}

type memoryFile struct {
	m    *memory
	name string
}

func (f memoryFile) Write(b []byte) (int, error) {
	if f.m.room >= 0 && len(b) > f.m.room {
		n := f.m.room
		f.m.room = 0
		f.m.now[f.name] = append(slices.Clone(f.m.now[f.name]), b[:n]...)
		return n, syscall.ENOSPC
	}
	if f.m.room >= 0 {
		f.m.room -= len(b)
	}
	f.m.now[f.name] = append(slices.Clone(f.m.now[f.name]), b...)
	return len(b), nil
}

func (f memoryFile) Sync() error {
	if f.m.failSync {
		return errors.New("no space")
	}
	if err := f.m.op(); err != nil {
		return err
	}
	f.m.synced[f.name] = slices.Clone(f.m.now[f.name])
	return nil
}

func (f memoryFile) Truncate(n int64) error {
	f.m.now[f.name] = f.m.now[f.name][:n]
	return nil
}

func (f memoryFile) Close() error { return nil }

func (m *memory) List() ([]string, error) {
	var out []string
	for name := range m.now {
		out = append(out, name)
	}
	return out, nil
}

func (m *memory) Read(name string) ([]byte, error) {
	b, ok := m.now[name]
	if !ok {
		return nil, errors.New("no file " + name)
	}
	return b, nil
}

func (m *memory) Create(name string) (File, error) {
	m.now[name] = nil
	return memoryFile{m, name}, nil
}

func (m *memory) Append(name string) (File, error) { return memoryFile{m, name}, nil }

func (m *memory) Rename(from, to string) error {
	if err := m.op(); err != nil {
		return err
	}
	m.now[to] = m.now[from]
	m.synced[to] = m.synced[from]
	delete(m.now, from)
	delete(m.synced, from)
	return nil
}

func (m *memory) Remove(name string) error {
	if err := m.op(); err != nil {
		return err
	}
	delete(m.now, name)
	delete(m.synced, name)
	return nil
}

func (m *memory) SyncDir() error { return m.op() }

// crash loses what was not synced, but for torn bytes of each file's tail.
func (m *memory) crash(torn int) {
	for name, b := range m.now {
		kept := m.synced[name]
		if extra := len(b) - len(kept); extra > 0 && torn > 0 {
			kept = b[:len(kept)+min(extra, torn)]
		}
		m.now[name] = slices.Clone(kept)
		m.synced[name] = slices.Clone(kept)
	}
}

func entry(index, term uint64) *statepb.Entry {
	return &statepb.Entry{Index: index, Term: term, Command: &statepb.Command{Nonce: index*1000 + term}}
}

func open(t interface{ Fatalf(string, ...any) }, m *memory) (*Store, Opened) {
	s, o, err := Open(Config{Files: m, NewIdentity: func() uint64 { return 77 }})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return s, o
}

// What was synced is there after any crash, and nothing but an unsynced tail
// is lost.
func TestSyncedRecordsSurviveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemory()
		s, _ := open(t, m)
		var want, tail []*statepb.Entry
		term, base := uint64(1), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "act") {
			case 0, 1, 2:
				from := base + 1 + uint64(rapid.IntRange(0, len(tail)).Draw(t, "from"))
				term++
				batch := []*statepb.Entry{entry(from, term), entry(from+1, term)}
				if err := s.Append(&statepb.HardState{Term: term}, batch); err != nil {
					t.Fatalf("append: %v", err)
				}
				tail = append(slices.Clone(tail[:from-base-1]), batch...)
				if err := s.Sync(); err != nil {
					t.Fatalf("sync: %v", err)
				}
				want = slices.Clone(tail)
			case 3:
				if len(tail) == 0 {
					continue
				}
				cut := rapid.IntRange(1, len(tail)).Draw(t, "cut")
				next, rest := tail[cut-1].Index, slices.Clone(tail[cut:])
				m.failAfter = rapid.IntRange(0, 7).Draw(t, "crash")
				err := s.Save(&statepb.Snapshot{Index: next, Term: term}, &statepb.HardState{Term: term}, rest)
				m.failAfter = 0
				if err == nil {
					base, tail, want = next, rest, slices.Clone(rest)
					continue
				}
				m.crash(0)
				var o Opened
				s, o = open(t, m)
				if o.Snapshot.GetIndex() == next {
					base, tail, want = next, rest, slices.Clone(rest)
				}
				compare(t, o, base, want)
				tail = slices.Clone(want)
			default:
				if err := s.Append(&statepb.HardState{Term: term + 50}, []*statepb.Entry{entry(base+uint64(len(tail))+1, 99)}); err != nil {
					t.Fatalf("append: %v", err)
				}
				m.crash(rapid.IntRange(0, 8).Draw(t, "torn"))
				var o Opened
				s, o = open(t, m)
				compare(t, o, base, want)
				tail = slices.Clone(want)
			}
		}
	})
}

func compare(t *rapid.T, o Opened, base uint64, want []*statepb.Entry) {
	if got := o.Snapshot.GetIndex(); got != base {
		t.Fatalf("snapshot at %d, want %d", got, base)
	}
	if got := o.Identity; got != 77 {
		t.Fatalf("identity %d, want 77", got)
	}
	if got, want := len(o.Entries), len(want); got != want {
		t.Fatalf("%d entries, want %d", got, want)
	}
	for i, e := range o.Entries {
		if got, want := e.Command.Nonce, want[i].Command.Nonce; got != want {
			t.Fatalf("entry %d is %d, want %d", i, got, want)
		}
	}
}

// Damage before the last record is told apart from a torn tail.
func TestDamageInTheMiddleIsReported(t *testing.T) {
	for _, at := range []int{0, 5, 9, 14, 40} {
		m := newMemory()
		s, _ := open(t, m)
		for i := range uint64(4) {
			if err := s.Append(&statepb.HardState{Term: i + 1}, []*statepb.Entry{entry(i+1, 1)}); err != nil {
				t.Fatal(err)
			}
			if err := s.Sync(); err != nil {
				t.Fatal(err)
			}
		}
		m.now[name(logPrefix, 0)][at] ^= 0x40
		_, _, err := Open(Config{Files: m, NewIdentity: func() uint64 { return 1 }})
		var damage *DamageError
		if !errors.As(err, &damage) {
			t.Errorf("byte %d damaged: got %v, want a DamageError", at, err)
		}
	}
}

func TestTornTailIsCut(t *testing.T) {
	m := newMemory()
	s, _ := open(t, m)
	if err := s.Append(&statepb.HardState{Term: 3}, []*statepb.Entry{entry(1, 3)}); err != nil {
		t.Fatal(err)
	}
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	if err := s.Append(&statepb.HardState{Term: 4}, []*statepb.Entry{entry(2, 4)}); err != nil {
		t.Fatal(err)
	}
	m.crash(7)
	_, o := open(t, m)
	if got, want := o.Hard.Term, uint64(3); got != want {
		t.Errorf("term %d, want %d", got, want)
	}
	if got, want := o.Cut, 7; got != want {
		t.Errorf("cut %d bytes, want %d", got, want)
	}
}

func TestFailedSyncIsAnError(t *testing.T) {
	m := newMemory()
	s, _ := open(t, m)
	m.failSync = true
	if err := s.Sync(); err == nil {
		t.Error("a failed sync returned no error")
	}
}

func FuzzSplit(f *testing.F) {
	b, err := frame(&statepb.Record{Identity: 5})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(append(b, b[:9]...))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, intact, err := split("log", data)
		if err == nil && intact > len(data) {
			t.Errorf("intact %d of %d bytes, %d records", intact, len(data), len(records))
		}
	})
}

// A full disk leaves the store as it was, whichever write it refuses, and what
// is written once there is room again is all there after a restart.
func TestFullDisk(t *testing.T) {
	for room := range 400 {
		m := newMemory()
		s, _, err := Open(Config{Files: m, NewIdentity: func() uint64 { return 7 }})
		if err != nil {
			t.Fatal(err)
		}
		entry := func(i uint64) []*statepb.Entry {
			return []*statepb.Entry{{Index: i, Term: 1, Command: &statepb.Command{NowMs: int64(i)}}}
		}
		steps := []func() error{
			func() error { return s.Append(&statepb.HardState{Term: 1}, entry(1)) },
			s.Sync,
			func() error { return s.Append(nil, entry(2)) },
			func() error {
				return s.Save(&statepb.Snapshot{Index: 2, Term: 1, State: []byte("state")}, &statepb.HardState{Term: 1}, nil)
			},
			func() error { return s.Append(nil, entry(3)) },
			s.Sync,
		}
		m.room = room
		refused := 0
		for i, step := range steps {
			err := step()
			for errors.Is(err, syscall.ENOSPC) {
				var full *FullError
				if !errors.As(err, &full) {
					t.Fatalf("room %d, step %d: %v is not a FullError", room, i, err)
				}
				refused++
				m.room = -1
				err = step()
			}
			if err != nil {
				t.Fatalf("room %d, step %d: %v", room, i, err)
			}
		}
		m.crash(0)
		_, opened, err := Open(Config{Files: m, NewIdentity: func() uint64 { return 8 }})
		if err != nil {
			t.Fatalf("room %d: open again: %v", room, err)
		}
		got := fmt.Sprint(opened.Identity, opened.Hard.GetTerm(), opened.Snapshot.GetIndex(), len(opened.Entries), opened.Entries[len(opened.Entries)-1].Index)
		if want := "7 1 2 1 3"; got != want {
			t.Errorf("room %d, %d writes refused: got %s, want %s", room, refused, got, want)
		}
	}
}

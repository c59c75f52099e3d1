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

// TestMain makes the random tests reproducible with a fixed seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

// memFS is an in-memory FS whose unsynced writes are lost in a simulated crash.
type memFS struct {
	synced  map[string][]byte
	written map[string][]byte
	// failSync makes every sync of a file fail.
	failSync bool
	// freeBytes is the number of bytes until the disk is full; negative is no
	// limit.
	freeBytes int
	// crashAfter is the number of syncs, renames and removals until one fails;
	// 0 lets all succeed.
	crashAfter int
	// open is the number of open files.
	open int
}

var errCrash = errors.New("crash")

// countdown decrements crashAfter and returns errCrash when it reaches 0.
func (m *memFS) countdown() error {
	if m.crashAfter == 0 {
		return nil
	}
	m.crashAfter--
	if m.crashAfter == 0 {
		return errCrash
	}
	return nil
}

func newMemFS() *memFS {
	return &memFS{synced: make(map[string][]byte), written: make(map[string][]byte), freeBytes: -1}
}

type memFile struct {
	m    *memFS
	name string
}

func (f memFile) Write(b []byte) (int, error) {
	if f.m.freeBytes >= 0 && len(b) > f.m.freeBytes {
		n := f.m.freeBytes
		f.m.freeBytes = 0
		f.m.written[f.name] = append(slices.Clone(f.m.written[f.name]), b[:n]...)
		return n, syscall.ENOSPC
	}
	if f.m.freeBytes >= 0 {
		f.m.freeBytes -= len(b)
	}
	f.m.written[f.name] = append(slices.Clone(f.m.written[f.name]), b...)
	return len(b), nil
}

func (f memFile) Sync() error {
	if f.m.failSync {
		return errors.New("no space")
	}
	if err := f.m.countdown(); err != nil {
		return err
	}
	f.m.synced[f.name] = slices.Clone(f.m.written[f.name])
	return nil
}

func (f memFile) Truncate(n int64) error {
	f.m.written[f.name] = f.m.written[f.name][:n]
	return nil
}

func (f memFile) Close() error {
	f.m.open--
	return nil
}

func (m *memFS) List() ([]string, error) {
	var out []string
	for name := range m.written {
		out = append(out, name)
	}
	return out, nil
}

func (m *memFS) Read(name string) ([]byte, error) {
	b, ok := m.written[name]
	if !ok {
		return nil, errors.New("no file " + name)
	}
	return b, nil
}

func (m *memFS) Create(name string) (File, error) {
	m.written[name] = nil
	m.open++
	return memFile{m, name}, nil
}

func (m *memFS) Append(name string) (File, error) {
	m.open++
	return memFile{m, name}, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.countdown(); err != nil {
		return err
	}
	m.written[to] = m.written[from]
	m.synced[to] = m.synced[from]
	delete(m.written, from)
	delete(m.synced, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.countdown(); err != nil {
		return err
	}
	delete(m.written, name)
	delete(m.synced, name)
	return nil
}

func (m *memFS) SyncDir() error { return m.countdown() }

// crash discards unsynced writes, except for the first torn bytes of those to
// each file.
func (m *memFS) crash(torn int) {
	for name, b := range m.written {
		kept := m.synced[name]
		if extra := len(b) - len(kept); extra > 0 && torn > 0 {
			kept = b[:len(kept)+min(extra, torn)]
		}
		m.written[name] = slices.Clone(kept)
		m.synced[name] = slices.Clone(kept)
	}
}

func entry(index, term uint64) *statepb.Entry {
	return &statepb.Entry{Index: index, Term: term, Command: &statepb.Command{Nonce: index*1000 + term}}
}

func open(t interface{ Fatalf(string, ...any) }, m *memFS) (*Store, Recovered) {
	s, r, err := Open(Config{FS: m, NewIdentity: func() uint64 { return 77 }})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return s, r
}

// After a crash at any point, Open recovers every synced record and the
// snapshot; only unsynced records at the end of the log are lost.
func TestSyncedRecordsSurviveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemFS()
		s, _ := open(t, m)
		var want, tail []*statepb.Entry
		term, base := uint64(1), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
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
				covered := rapid.IntRange(1, len(tail)).Draw(t, "covered")
				next, rest := tail[covered-1].Index, slices.Clone(tail[covered:])
				m.crashAfter = rapid.IntRange(0, 7).Draw(t, "crash")
				err := s.SaveSnapshot(&statepb.Snapshot{Index: next, Term: term}, &statepb.HardState{Term: term}, rest)
				m.crashAfter = 0
				if err == nil {
					base, tail, want = next, rest, slices.Clone(rest)
					continue
				}
				m.crash(0)
				var r Recovered
				s, r = open(t, m)
				if r.Snapshot.GetIndex() == next {
					base, tail, want = next, rest, slices.Clone(rest)
				}
				checkRecovered(t, r, base, want)
				tail = slices.Clone(want)
			default:
				if err := s.Append(&statepb.HardState{Term: term + 50}, []*statepb.Entry{entry(base+uint64(len(tail))+1, 99)}); err != nil {
					t.Fatalf("append: %v", err)
				}
				m.crash(rapid.IntRange(0, 8).Draw(t, "torn"))
				var r Recovered
				s, r = open(t, m)
				checkRecovered(t, r, base, want)
				tail = slices.Clone(want)
			}
		}
	})
}

func checkRecovered(t *rapid.T, r Recovered, base uint64, want []*statepb.Entry) {
	if got := r.Snapshot.GetIndex(); got != base {
		t.Fatalf("snapshot at %d, want %d", got, base)
	}
	if got := r.Identity; got != 77 {
		t.Fatalf("identity %d, want 77", got)
	}
	if got, want := len(r.Entries), len(want); got != want {
		t.Fatalf("%d entries, want %d", got, want)
	}
	for i, e := range r.Entries {
		if got, want := e.Command.Nonce, want[i].Command.Nonce; got != want {
			t.Fatalf("entry %d is %d, want %d", i, got, want)
		}
	}
}

// A flipped bit before the last record is reported as corruption and not
// truncated like an incomplete last record, which would drop synced entries.
func TestCorruptionBeforeLastRecordIsReported(t *testing.T) {
	for _, offset := range []int{0, 5, 9, 14, 40} {
		m := newMemFS()
		s, _ := open(t, m)
		for i := range uint64(4) {
			if err := s.Append(&statepb.HardState{Term: i + 1}, []*statepb.Entry{entry(i+1, 1)}); err != nil {
				t.Fatal(err)
			}
			if err := s.Sync(); err != nil {
				t.Fatal(err)
			}
		}
		m.written[fileName(logPrefix, 0)][offset] ^= 0x40
		_, _, err := Open(Config{FS: m, NewIdentity: func() uint64 { return 1 }})
		var corrupted *CorruptionError
		if !errors.As(err, &corrupted) {
			t.Errorf("byte %d corrupted: got %v, want a CorruptionError", offset, err)
		}
	}
}

func TestIncompleteLastRecordIsTruncated(t *testing.T) {
	m := newMemFS()
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
	_, r := open(t, m)
	if got, want := r.Hard.Term, uint64(3); got != want {
		t.Errorf("term %d, want %d", got, want)
	}
	if got, want := r.TruncatedBytes, 7; got != want {
		t.Errorf("truncated %d bytes, want %d", got, want)
	}
}

func TestFailedSyncIsAnError(t *testing.T) {
	m := newMemFS()
	s, _ := open(t, m)
	m.failSync = true
	if err := s.Sync(); err == nil {
		t.Error("a failed sync returned no error")
	}
}

func FuzzSplitRecords(f *testing.F) {
	b, err := encodeRecord(&statepb.Record{Identity: 5})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(append(b, b[:9]...))
	f.Fuzz(func(t *testing.T, data []byte) {
		payloads, intact, err := splitRecords("log", data)
		if err == nil && intact > len(data) {
			t.Errorf("intact %d of %d bytes, %d records", intact, len(data), len(payloads))
		}
	})
}

// A write that fails on a full disk leaves the store unchanged, whichever write
// it is, and no file open but the log: it is retried many times. Retried once there is
// free space, it is there after a restart.
func TestFullDisk(t *testing.T) {
	for free := range 400 {
		m := newMemFS()
		s, _, err := Open(Config{FS: m, NewIdentity: func() uint64 { return 7 }})
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
				return s.SaveSnapshot(&statepb.Snapshot{Index: 2, Term: 1, State: []byte("state")}, &statepb.HardState{Term: 1}, nil)
			},
			func() error { return s.Append(nil, entry(3)) },
			s.Sync,
		}
		m.freeBytes = free
		failed := 0
		for i, step := range steps {
			err := step()
			for errors.Is(err, syscall.ENOSPC) {
				var full *FullError
				if !errors.As(err, &full) {
					t.Fatalf("%d bytes free, step %d: %v is not a FullError", free, i, err)
				}
				failed++
				m.freeBytes = -1
				err = step()
			}
			if err != nil {
				t.Fatalf("%d bytes free, step %d: %v", free, i, err)
			}
		}
		if got, want := m.open, 1; got != want {
			t.Errorf("%d bytes free, %d writes failed: %d files are open, want %d", free, failed, got, want)
		}
		m.crash(0)
		_, recovered, err := Open(Config{FS: m, NewIdentity: func() uint64 { return 8 }})
		if err != nil {
			t.Fatalf("%d bytes free: reopen: %v", free, err)
		}
		got := fmt.Sprint(recovered.Identity, recovered.Hard.GetTerm(), recovered.Snapshot.GetIndex(), len(recovered.Entries), recovered.Entries[len(recovered.Entries)-1].Index)
		if want := "7 1 2 1 3"; got != want {
			t.Errorf("%d bytes free, %d writes failed: got %s, want %s", free, failed, got, want)
		}
	}
}

package disk

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"syscall"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
)

// Config opens a Store.
type Config struct {
	// Files is the data folder.
	Files Files
	// NewIdentity returns a random number for a folder without one.
	NewIdentity func() uint64
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	files      Files
	log        File
	generation uint64
	identity   uint64
	syncs      uint64
	// size is the number of bytes of whole records in the log.
	size int64
}

// Opened is what the folder held.
type Opened struct {
	raft.InitialState
	// Identity is the disk identity.
	Identity uint64
	// Cut is the number of bytes of an incomplete last record.
	Cut int
}

// Open reads the folder, or gives an empty one an identity. It returns a
// DamageError where the content cannot be trusted.
func Open(cfg Config) (*Store, Opened, error) {
	s := &Store{files: cfg.Files}
	found, err := s.newest()
	if err != nil {
		return nil, Opened{}, err
	}
	if !found {
		opened, err := s.initialise(cfg.NewIdentity())
		return s, opened, err
	}
	opened, err := s.load()
	return s, opened, err
}

// Identity returns the disk identity.
func (s *Store) Identity() uint64 { return s.identity }

// Syncs returns the number of syncs of the log so far.
func (s *Store) Syncs() uint64 { return s.syncs }

func name(prefix string, generation uint64) string {
	return fmt.Sprintf("%s%016x", prefix, generation)
}

// newest finds the newest complete generation: the newest snapshot, or the
// first log where there is none.
func (s *Store) newest() (bool, error) {
	names, err := s.files.List()
	if err != nil {
		return false, err
	}
	found := false
	for _, n := range names {
		if n == name(logPrefix, 0) {
			found = true
		}
		text, ok := strings.CutPrefix(n, snapshotPrefix)
		if !ok || strings.HasSuffix(text, tempSuffix) {
			continue
		}
		g, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			continue
		}
		found = true
		s.generation = max(s.generation, g)
	}
	return found, nil
}

func (s *Store) initialise(identity uint64) (Opened, error) {
	s.identity = identity
	if err := s.startLog(&statepb.Record{Identity: identity}); err != nil {
		return Opened{}, err
	}
	if err := s.files.SyncDir(); err != nil {
		return Opened{}, fmt.Errorf("sync data folder: %w", err)
	}
	return Opened{Identity: identity}, nil
}

// startLog writes the first record of the present generation's log.
func (s *Store) startLog(first *statepb.Record) error {
	f, err := s.files.Create(name(logPrefix, s.generation))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	s.log, s.size = f, 0
	if err := s.write(first); err != nil {
		return err
	}
	return s.Sync()
}

func (s *Store) write(r *statepb.Record) error {
	b, err := frame(r)
	if err != nil {
		return err
	}
	_, err = s.log.Write(b)
	switch {
	case err == nil:
		s.size += int64(len(b))
		return nil
	case !errors.Is(err, syscall.ENOSPC):
		return fmt.Errorf("write log: %w; end the process and check the disk", err)
	}
	if cut := s.log.Truncate(s.size); cut != nil {
		return fmt.Errorf("cut log after %w: %w; end the process and check the disk", err, cut)
	}
	return &FullError{Err: err}
}

// Append writes one record. It lasts only once Sync has returned nil.
func (s *Store) Append(hard *statepb.HardState, entries []*statepb.Entry) error {
	return s.write(&statepb.Record{Hard: hard, Entries: entries})
}

// Sync makes what was appended lasting.
func (s *Store) Sync() error {
	s.syncs++
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w; end the process and check the disk", err)
	}
	return nil
}

// Save starts a new generation from a snapshot and the entries behind it. It
// is lasting when it returns nil. After a *FullError the former generation goes
// on.
func (s *Store) Save(snap *statepb.Snapshot, hard *statepb.HardState, tail []*statepb.Entry) error {
	old, size := s.log, s.size
	s.generation++
	err := s.writeGeneration(snap, &statepb.Record{Identity: s.identity, Hard: hard, Entries: tail})
	if errors.Is(err, syscall.ENOSPC) {
		return s.goBack(old, size, err)
	}
	if err != nil {
		return err
	}
	if err := old.Close(); err != nil {
		return fmt.Errorf("close old log: %w", err)
	}
	return s.removeOld()
}

func (s *Store) writeGeneration(snap *statepb.Snapshot, first *statepb.Record) error {
	if err := s.startLog(first); err != nil {
		return err
	}
	if err := s.files.SyncDir(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return s.writeSnapshot(snap)
}

// goBack returns to the former generation after the disk was full.
func (s *Store) goBack(old File, size int64, full error) error {
	if s.log != old {
		if err := s.log.Close(); err != nil {
			return fmt.Errorf("close log after %w: %w", full, err)
		}
	}
	final := name(snapshotPrefix, s.generation)
	for _, n := range []string{final, final + tempSuffix, name(logPrefix, s.generation)} {
		if err := s.files.Remove(n); err != nil {
			return fmt.Errorf("remove %s after %w: %w", n, full, err)
		}
	}
	s.log, s.size = old, size
	s.generation--
	return &FullError{Err: full}
}

func (s *Store) writeSnapshot(snap *statepb.Snapshot) error {
	final := name(snapshotPrefix, s.generation)
	f, err := s.files.Create(final + tempSuffix)
	if err != nil {
		return fmt.Errorf("create snapshot: %w", err)
	}
	b, err := frame(snap)
	if err != nil {
		return err
	}
	if _, err := f.Write(b); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync snapshot: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close snapshot: %w", err)
	}
	if err := s.files.Rename(final+tempSuffix, final); err != nil {
		return fmt.Errorf("rename snapshot: %w", err)
	}
	return s.files.SyncDir()
}

// removeOld deletes every file of an earlier generation.
func (s *Store) removeOld() error {
	names, err := s.files.List()
	if err != nil {
		return err
	}
	keepLog, keepSnapshot := name(logPrefix, s.generation), name(snapshotPrefix, s.generation)
	for _, n := range names {
		ours := strings.HasPrefix(n, logPrefix) || strings.HasPrefix(n, snapshotPrefix)
		if !ours || n == keepLog || n == keepSnapshot {
			continue
		}
		if err := s.files.Remove(n); err != nil {
			return fmt.Errorf("remove %s: %w", n, err)
		}
	}
	return nil
}

func (s *Store) load() (Opened, error) {
	var out Opened
	if s.generation > 0 {
		snap, err := s.loadSnapshot()
		if err != nil {
			return out, err
		}
		out.Snapshot = snap
	}
	if err := s.loadLog(&out); err != nil {
		return out, err
	}
	s.identity = out.Identity
	return out, nil
}

func (s *Store) loadSnapshot() (*statepb.Snapshot, error) {
	file := name(snapshotPrefix, s.generation)
	data, err := s.files.Read(file)
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	records, intact, err := split(file, data)
	if err != nil {
		return nil, err
	}
	if len(records) != 1 || intact != len(data) {
		return nil, &DamageError{File: file, Reason: "incomplete snapshot"}
	}
	snap := &statepb.Snapshot{}
	if err := proto.Unmarshal(records[0], snap); err != nil {
		return nil, &DamageError{File: file, Reason: err.Error()}
	}
	return snap, nil
}

func (s *Store) loadLog(out *Opened) error {
	file := name(logPrefix, s.generation)
	data, err := s.files.Read(file)
	if err != nil {
		return &DamageError{File: file, Reason: err.Error()}
	}
	records, intact, err := split(file, data)
	if err != nil {
		return err
	}
	for _, b := range records {
		r := &statepb.Record{}
		if err := proto.Unmarshal(b, r); err != nil {
			return &DamageError{File: file, Reason: err.Error()}
		}
		if err := replay(out, r); err != nil {
			return &DamageError{File: file, Reason: err.Error()}
		}
	}
	if out.Identity == 0 {
		return &DamageError{File: file, Reason: "no identity"}
	}
	out.Cut = len(data) - intact
	return s.reopen(file, intact)
}

func (s *Store) reopen(file string, intact int) error {
	f, err := s.files.Append(file)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	s.log, s.size = f, int64(intact)
	if err := f.Truncate(int64(intact)); err != nil {
		return fmt.Errorf("cut log: %w", err)
	}
	return s.Sync()
}

// replay takes one record; an entry replaces the log from its index on.
func replay(out *Opened, r *statepb.Record) error {
	if r.Identity != 0 {
		out.Identity = r.Identity
	}
	if r.Hard != nil {
		out.Hard = r.Hard
	}
	base := out.Snapshot.GetIndex()
	for _, e := range r.Entries {
		if e.Index <= base {
			continue
		}
		at := e.Index - base - 1
		if at > uint64(len(out.Entries)) {
			return fmt.Errorf("entry %d leaves a gap", e.Index)
		}
		out.Entries = append(out.Entries[:at:at], e)
	}
	return nil
}

// Close closes the log file.
func (s *Store) Close() error {
	if s.log == nil {
		return nil
	}
	return s.log.Close()
}

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
	// FS is the data folder.
	FS FS
	// NewIdentity returns a random disk identity for an empty folder.
	NewIdentity func() uint64
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	fs         FS
	log        File
	generation uint64
	identity   uint64
	syncs      uint64
	// logBytes is the size of the complete records in the log.
	logBytes int64
}

// Recovered is the state that Open read from the folder.
type Recovered struct {
	raft.InitialState
	// Identity is the disk identity.
	Identity uint64
	// TruncatedBytes is the size of an incomplete last record that was
	// truncated.
	TruncatedBytes int
}

// Open reads the folder and gives an empty one a new identity. It returns a
// CorruptionError if the content is damaged.
func Open(cfg Config) (*Store, Recovered, error) {
	s := &Store{fs: cfg.FS}
	found, err := s.findGeneration()
	if err != nil {
		return nil, Recovered{}, err
	}
	if !found {
		recovered, err := s.initialise(cfg.NewIdentity())
		return s, recovered, err
	}
	recovered, err := s.load()
	return s, recovered, err
}

// Identity returns the disk identity.
func (s *Store) Identity() uint64 { return s.identity }

// Syncs returns how often the log was synced.
func (s *Store) Syncs() uint64 { return s.syncs }

func fileName(prefix string, generation uint64) string {
	return fmt.Sprintf("%s%016x", prefix, generation)
}

// findGeneration selects the newest complete generation: that of the newest
// snapshot, or the first one if there is a log but no snapshot. It reports false
// for an empty folder.
func (s *Store) findGeneration() (bool, error) {
	names, err := s.fs.List()
	if err != nil {
		return false, err
	}
	found := false
	for _, n := range names {
		if n == fileName(logPrefix, 0) {
			found = true
		}
		number, ok := strings.CutPrefix(n, snapshotPrefix)
		if !ok || strings.HasSuffix(number, tempSuffix) {
			continue
		}
		g, err := strconv.ParseUint(number, 16, 64)
		if err != nil {
			continue
		}
		found = true
		s.generation = max(s.generation, g)
	}
	return found, nil
}

func (s *Store) initialise(identity uint64) (Recovered, error) {
	s.identity = identity
	if err := s.createLog(&statepb.Record{Identity: identity}); err != nil {
		return Recovered{}, err
	}
	if err := s.fs.SyncDir(); err != nil {
		return Recovered{}, fmt.Errorf("sync data folder: %w", err)
	}
	return Recovered{Identity: identity}, nil
}

// createLog creates the log of the current generation with its first record
// and syncs it.
func (s *Store) createLog(first *statepb.Record) error {
	f, err := s.fs.Create(fileName(logPrefix, s.generation))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	s.log, s.logBytes = f, 0
	if err := s.writeRecord(first); err != nil {
		return err
	}
	return s.Sync()
}

// writeRecord appends a record to the log. On a full disk it truncates the
// partial record, so that the write can be retried.
func (s *Store) writeRecord(r *statepb.Record) error {
	b, err := encodeRecord(r)
	if err != nil {
		return err
	}
	_, err = s.log.Write(b)
	switch {
	case err == nil:
		s.logBytes += int64(len(b))
		return nil
	case !errors.Is(err, syscall.ENOSPC):
		return fmt.Errorf("write log: %w; end the process and check the disk", err)
	}
	if truncErr := s.log.Truncate(s.logBytes); truncErr != nil {
		return fmt.Errorf("truncate log after %w: %w; end the process and check the disk", err, truncErr)
	}
	return &FullError{Err: err}
}

// Append writes one record. It is durable only after Sync has returned nil.
func (s *Store) Append(hard *statepb.HardState, entries []*statepb.Entry) error {
	return s.writeRecord(&statepb.Record{Hard: hard, Entries: entries})
}

// Sync makes all appended records durable.
func (s *Store) Sync() error {
	s.syncs++
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w; end the process and check the disk", err)
	}
	return nil
}

// SaveSnapshot starts a new generation from a snapshot and the log entries after
// it, and deletes the previous generation. The new one is durable when
// SaveSnapshot returns nil. After a *FullError the previous generation stays in
// use.
func (s *Store) SaveSnapshot(snap *statepb.Snapshot, hard *statepb.HardState, tail []*statepb.Entry) error {
	oldLog, oldBytes := s.log, s.logBytes
	s.generation++
	err := s.writeGeneration(snap, &statepb.Record{Identity: s.identity, Hard: hard, Entries: tail})
	if errors.Is(err, syscall.ENOSPC) {
		return s.rollBack(oldLog, oldBytes, err)
	}
	if err != nil {
		return err
	}
	if err := oldLog.Close(); err != nil {
		return fmt.Errorf("close old log: %w", err)
	}
	return s.removeOldGenerations()
}

// writeGeneration writes the log before the snapshot, because findGeneration
// takes a generation as complete once its snapshot exists.
func (s *Store) writeGeneration(snap *statepb.Snapshot, first *statepb.Record) error {
	if err := s.createLog(first); err != nil {
		return err
	}
	if err := s.fs.SyncDir(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return s.writeSnapshot(snap)
}

// rollBack returns to the previous generation if the disk was full while a new
// one was written.
func (s *Store) rollBack(oldLog File, oldBytes int64, fullErr error) error {
	if s.log != oldLog {
		if err := s.log.Close(); err != nil {
			return fmt.Errorf("close log after %w: %w", fullErr, err)
		}
	}
	final := fileName(snapshotPrefix, s.generation)
	for _, n := range []string{final, final + tempSuffix, fileName(logPrefix, s.generation)} {
		if err := s.fs.Remove(n); err != nil {
			return fmt.Errorf("remove %s after %w: %w", n, fullErr, err)
		}
	}
	s.log, s.logBytes = oldLog, oldBytes
	s.generation--
	return &FullError{Err: fullErr}
}

func (s *Store) writeSnapshot(snap *statepb.Snapshot) error {
	final := fileName(snapshotPrefix, s.generation)
	b, err := encodeRecord(snap)
	if err != nil {
		return err
	}
	if err := s.writeFile(final+tempSuffix, b); err != nil {
		return err
	}
	if err := s.fs.Rename(final+tempSuffix, final); err != nil {
		return fmt.Errorf("rename snapshot: %w", err)
	}
	return s.fs.SyncDir()
}

// writeFile creates a file with the content b and syncs it. The file is closed in any case.
func (s *Store) writeFile(name string, b []byte) error {
	f, err := s.fs.Create(name)
	if err != nil {
		return fmt.Errorf("create %s: %w", name, err)
	}
	if _, err := f.Write(b); err != nil {
		return fmt.Errorf("write %s: %w", name, errors.Join(err, f.Close()))
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", name, errors.Join(err, f.Close()))
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close %s: %w", name, err)
	}
	return nil
}

// removeOldGenerations deletes the files of all other generations.
func (s *Store) removeOldGenerations() error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	keepLog, keepSnapshot := fileName(logPrefix, s.generation), fileName(snapshotPrefix, s.generation)
	for _, n := range names {
		isStoreFile := strings.HasPrefix(n, logPrefix) || strings.HasPrefix(n, snapshotPrefix)
		if !isStoreFile || n == keepLog || n == keepSnapshot {
			continue
		}
		if err := s.fs.Remove(n); err != nil {
			return fmt.Errorf("remove %s: %w", n, err)
		}
	}
	return nil
}

func (s *Store) load() (Recovered, error) {
	var out Recovered
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
	file := fileName(snapshotPrefix, s.generation)
	data, err := s.fs.Read(file)
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	payloads, intact, err := splitRecords(file, data)
	if err != nil {
		return nil, err
	}
	if len(payloads) != 1 || intact != len(data) {
		return nil, &CorruptionError{File: file, Reason: "incomplete snapshot"}
	}
	snap := &statepb.Snapshot{}
	if err := proto.Unmarshal(payloads[0], snap); err != nil {
		return nil, &CorruptionError{File: file, Reason: err.Error()}
	}
	return snap, nil
}

func (s *Store) loadLog(out *Recovered) error {
	file := fileName(logPrefix, s.generation)
	data, err := s.fs.Read(file)
	if err != nil {
		return &CorruptionError{File: file, Reason: err.Error()}
	}
	payloads, intact, err := splitRecords(file, data)
	if err != nil {
		return err
	}
	for _, b := range payloads {
		r := &statepb.Record{}
		if err := proto.Unmarshal(b, r); err != nil {
			return &CorruptionError{File: file, Reason: err.Error()}
		}
		if err := replay(out, r); err != nil {
			return &CorruptionError{File: file, Reason: err.Error()}
		}
	}
	if out.Identity == 0 {
		return &CorruptionError{File: file, Reason: "no identity"}
	}
	out.TruncatedBytes = len(data) - intact
	return s.reopenLog(file, intact)
}

// reopenLog opens the log for appending and truncates it to its intact records.
func (s *Store) reopenLog(file string, intact int) error {
	f, err := s.fs.Append(file)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	s.log, s.logBytes = f, int64(intact)
	if err := f.Truncate(int64(intact)); err != nil {
		return fmt.Errorf("truncate log: %w", err)
	}
	return s.Sync()
}

// replay applies one record to the recovered state. An entry replaces the log
// from its index on.
func replay(out *Recovered, r *statepb.Record) error {
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
		i := e.Index - base - 1
		if i > uint64(len(out.Entries)) {
			return fmt.Errorf("entry %d does not follow the log", e.Index)
		}
		out.Entries = append(out.Entries[:i:i], e)
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

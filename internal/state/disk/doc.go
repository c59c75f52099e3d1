// Package disk stores the Raft log and its snapshots in one folder.
//
// The folder holds one generation: a log file and, from the second generation
// on, a snapshot file with the same number. Every record has a checksum of its
// length and one of its payload, and each call of Append writes one record. An
// incomplete or unreadable last record is the result of a crash and is
// truncated. Damage anywhere else is reported as a CorruptionError: synced
// entries or votes may be lost, so the replica must not vote again under this
// disk identity. Quarantine then makes room for a new one.
//
// # Usage
//
//	store, recovered, err := disk.Open(disk.Config{FS: fs, NewIdentity: random})
//	err = store.Append(hard, entries) // written, not yet durable
//	err = store.Sync()                // durable
//
// After an error of Append or Sync other than a FullError, the content of the
// file is unknown and the process must end.
package disk

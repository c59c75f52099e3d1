// Package disk keeps the replicated log and its snapshots in one folder.
//
// The folder holds one generation: a log file and, from the second generation
// on, a snapshot file of the same number. Each record carries a checksum of
// its length and of its content, and each call of Append writes one record. An
// incomplete or unreadable last record is the trace of a crash and is cut.
// Damage anywhere else is reported as a DamageError: the folder's identity
// must not vote again, and SetAside makes room for a new one.
//
// # Usage
//
//	store, restored, err := disk.Open(disk.Config{Dir: dir, NewIdentity: random})
//	err = store.Append(hard, entries) // written, not yet lasting
//	err = store.Sync()                // lasting
//
// An error of Append or Sync leaves the state of the file unknown, and the
// process has to end.
package disk

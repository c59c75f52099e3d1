// Package logs writes a process's structured log lines without ever blocking
// the process. Lines wait in a bounded queue for a writer of its own; while the
// queue is more than half full, lines below warning level are dropped, and
// while it is full, all are. How many were dropped is logged.
//
// # Usage
//
//	l := logs.Open(logs.Config{Out: os.Stdout, Level: zap.InfoLevel})
//	defer l.Close()
//	l.Logger().Info("started")
package logs

// Package logs writes a process's structured log lines without ever blocking
// the process. Lines wait in a bounded queue, which a separate goroutine writes
// out. While the queue is more than half full, lines below warning level are
// dropped; while it is full, all lines are. The number of dropped lines is
// logged.
//
// # Usage
//
//	l := logs.Open(logs.Config{Out: os.Stdout, Level: zap.InfoLevel})
//	defer l.Close()
//	l.Logger().Info("started")
package logs

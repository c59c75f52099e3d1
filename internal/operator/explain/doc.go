// Package explain reconstructs from log lines what happened to one request and
// what the processes knew at the time.
//
// It reads the lines of any number of processes, in any order, and ignores
// anything in front of a line's JSON object. The lines with the request's ID,
// sorted by time, are its history. To them it adds the last lines before the
// request's end about each upstream, service and process that they name.
//
// # Usage
//
//	r := explain.NewReader("9c41d07be2a35f68")
//	err := r.Read(file)
//	report := r.Report()
//	fmt.Println(report.Cause)
package explain

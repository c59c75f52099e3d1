// Package explain tells from log lines alone what happened to one request and
// what the processes believed at the time.
//
// It reads the lines of any number of processes, in any order; what stands in
// front of a line's JSON object is skipped. The lines that bear the request's
// id make its story, merged by their times; with them go the last words before
// its end on each upstream, service and process that the story names.
//
// # Usage
//
//	r := explain.NewReader("9c41d07be2a35f68")
//	err := r.Read(file)
//	story := r.Story()
//	fmt.Println(story.Cause)
package explain

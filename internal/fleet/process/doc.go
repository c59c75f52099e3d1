// Package process assembles what every process of the fleet has: log, time
// line, links, membership, and the copy of the document.
//
// # Usage
//
//	p, err := process.Start(process.Config{Settings: s, Role: settings.RoleEntry, Handle: handle})
//	defer p.Close()
package process

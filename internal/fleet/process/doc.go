// Package process assembles the parts that every process of the fleet has: the
// log, the timeline, the links to other processes, the membership and a copy of
// the configuration document.
//
// # Usage
//
//	p, err := process.Start(process.Config{Settings: s, Role: settings.RoleEntry, Handle: handle})
//	defer p.Close()
//	err = p.Join()
package process

// Package settings reads the settings file of a process.
//
// The file is TOML and is decoded strictly: an unknown field is an error. All
// faults are reported together, each with its line or field and its remedy.
// Secrets are named by file and never stand in the settings themselves.
//
// # Usage
//
//	s, err := settings.Load("entry.toml", settings.RoleEntry)
//	key, err := s.FleetKey()
package settings

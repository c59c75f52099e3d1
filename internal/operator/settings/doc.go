// Package settings reads and validates the settings file of a process.
//
// The file is TOML and is decoded strictly: an unknown field is an error. All
// violations are reported together, each with its line or field and a remedy.
// Secrets are referred to by file name and never part of the settings
// themselves.
//
// Settings holds the settings of an entry, an agent or a control instance; Site
// holds those of a gateway or a registry.
//
// # Usage
//
//	s, err := settings.Load("entry.toml", settings.RoleEntry)
//	key, err := s.FleetKey()
package settings

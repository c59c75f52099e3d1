// Package document is the configuration that all processes act under.
//
// The document is one TOML text. Its top-level tables are its sections, and
// each section belongs to one team. Schema is the decoded form; Parse decodes
// and validates a whole document and reports each fault with its line and
// remedy. Book is the replicated form: it accepts edits against a base
// version, remembers how each edit id ended and refuses what is out of date.
//
// # Usage
//
//	schema, err := document.Parse(text)
//	book := document.NewBook(1, document.Split(text))
//	result := book.Edit(index, nowMs, edit)
package document

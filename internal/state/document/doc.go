// Package document holds the versioned configuration that all processes share.
//
// The document is one TOML text. Its top-level tables are its sections, and
// each section belongs to one team. Parse decodes and validates a document into
// a Schema and reports every violation with its line and a remedy. Store is the
// replicated form: it applies edits with optimistic concurrency control and
// rejects an edit whose base version is out of date. It is idempotent by edit
// ID: a resent edit gets the outcome of the first one.
//
// # Usage
//
//	schema, err := document.Parse(text)
//	store, err := document.NewStore(1, document.Split(text))
//	result := store.Edit(index, nowMs, edit)
package document

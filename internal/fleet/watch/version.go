package watch

import "hawthornhub.example/hawthornhub/internal/wire/statepb"

// version is the version of a site document, or of none. It is not a number because 0 is
// the version of a document too.
type version struct {
	number uint64
	// exists is set if there is a document.
	exists bool
}

// versionOf returns the version that a message states, which is nil for no document.
func versionOf(number *uint64) version {
	if number == nil {
		return version{}
	}
	return version{number: *number, exists: true}
}

// documentVersion returns the version of a document, which may be nil.
func documentVersion(a *statepb.Adopted) version {
	if a == nil {
		return version{}
	}
	return version{number: a.GetVersion(), exists: true}
}

// proto returns the version for a message, nil for no document.
func (v version) proto() *uint64 {
	if !v.exists {
		return nil
	}
	return &v.number
}

// newerThan reports whether a document of this version replaces one of another version.
func (v version) newerThan(other version) bool {
	return v.exists && (!other.exists || v.number > other.number)
}

// newest returns the newer one of two versions.
func newest(a, b version) version {
	if b.newerThan(a) {
		return b
	}
	return a
}

package gateway

import "strings"

// sentPath returns the path of a request target as it was sent, without decoding escapes.
// net/url keeps only some paths as they were sent. A target in absolute form names a scheme and a
// host before the path.
func sentPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	_, rest, absolute := strings.Cut(path, "://")
	if !absolute {
		return path
	}
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		return rest[i:]
	}
	return "/"
}

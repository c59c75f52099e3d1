package ledger

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/google/uuid"
)

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 128

// KeyError reports an idempotency key that is too long or contains no time.
type KeyError struct {
	Key    string
	Reason string
}

// Error returns the reason together with a remedy.
func (e *KeyError) Error() string {
	return fmt.Sprintf("idempotency key %q: %s; use a UUID of version 7, or the Unix time in milliseconds, "+
		"a hyphen and text of your own", e.Key, e.Reason)
}

// KeyTime returns the time in a key, in Unix milliseconds. A key is a UUID of
// version 7 or has the form "<Unix milliseconds>-<text>".
func KeyTime(key string) (int64, error) {
	if len(key) > MaxKeyBytes {
		return 0, &KeyError{Key: key[:MaxKeyBytes], Reason: "too long"}
	}
	if !utf8.ValidString(key) {
		return 0, &KeyError{Key: key, Reason: "not UTF-8"}
	}
	if id, err := uuid.Parse(key); err == nil {
		if id.Version() != 7 {
			return 0, &KeyError{Key: key, Reason: "a UUID of another version carries no time"}
		}
		return uuidMillis(id), nil
	}
	millis, text, ok := strings.Cut(key, "-")
	if !ok || text == "" {
		return 0, &KeyError{Key: key, Reason: "no time"}
	}
	ms, err := strconv.ParseUint(millis, 10, 48)
	if err != nil {
		return 0, &KeyError{Key: key, Reason: "no time"}
	}
	return int64(ms), nil
}

// uuidMillis returns the leading 48 bits of a UUID of version 7, which RFC 9562
// defines as the Unix time in milliseconds.
func uuidMillis(id uuid.UUID) int64 {
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

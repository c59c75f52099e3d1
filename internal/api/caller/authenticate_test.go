package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"testing"

	"hawthornhub.example/hawthornhub/internal/state/document"
)

// Guards against calls that belong to nobody, or to an account whose key they do not have.
func TestEveryCallNeedsTheKeyOfItsAccount(t *testing.T) {
	hash := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	schema := document.Schema{Accounts: map[string]document.Account{"north": {KeySHA256: hash("k1")}, "south": {KeySHA256: hash("k2")}}}
	for _, tt := range []struct {
		name, want     string
		accounts, keys []string
	}{
		{"account and key", "north", []string{"north"}, []string{"k1"}},
		{"key of another account", "", []string{"north"}, []string{"k2"}},
		{"key that nobody holds", "", []string{"north"}, []string{"k3"}},
		{"unknown account", "", []string{"west"}, []string{"k1"}},
		{"no key", "", []string{"north"}, nil},
		{"no account", "", nil, []string{"k1"}},
		{"neither", "", nil, nil},
		{"keys of two accounts", "north", []string{"north"}, []string{"k1", "k2"}},
		{"key of another account first", "", []string{"north"}, []string{"k2", "k1"}},
	} {
		r := httptest.NewRequest(http.MethodPost, "/v1/pipelines/route", nil)
		r.Header[HeaderAccount], r.Header[HeaderAccountKey] = tt.accounts, tt.keys
		got, err := authenticate(schema, r)
		if got != tt.want || (err == nil) != (tt.want != "") {
			t.Errorf("%s: account %q, error %v; want %q", tt.name, got, err, tt.want)
		}
	}
}

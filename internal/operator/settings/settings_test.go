package settings

import (
	"os"
	"strings"
	"testing"
)

func TestExamplesAreValid(t *testing.T) {
	for _, role := range []Role{RoleEntry, RoleAgent, RoleControl} {
		if _, err := Load("../../../examples/"+string(role)+".toml", role); err != nil {
			t.Errorf("%s: %v", role, err)
		}
	}
}

func TestViolationsNameLineOrFieldAndRemedy(t *testing.T) {
	b, err := os.ReadFile("../../../examples/entry.toml")
	if err != nil {
		t.Fatal(err)
	}
	valid := string(b)
	for _, c := range []struct{ from, to, want string }{
		{`zone = "nl-noord-a"`, "", "zone: missing"},
		{`drain_ms = 1000`, `drain_msec = 1000`, "unknown field entry.drain_msec"},
		{`"10.0.1.10:8080"`, `"localhost:8080"`, "listen.http: \"localhost:8080\" is not IP:port"},
		{`log_level = "info"`, `log_level = "loud"`, "log_level: unknown level loud"},
		{`stop_ms = 20000`, `stop_ms = "long"`, "line "},
	} {
		_, violations := Decode([]byte(strings.Replace(valid, c.from, c.to, 1)), RoleEntry)
		if got := strings.Join(violations, "\n"); !strings.Contains(got, c.want) {
			t.Errorf("%s to %s: violations %q, want %q", c.from, c.to, got, c.want)
		}
	}
}

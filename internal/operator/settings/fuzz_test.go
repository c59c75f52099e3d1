package settings

import (
	"math"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const siteText = `
name = "g1"
zone = "z"
fleet_key_file = "key"
control_port = 7201
seeds = ["10.0.0.1:7201"]
memory_mb = 512
[listen]
callers = "10.0.0.2:7202"
ready = "10.0.0.2:7203"
link = "10.0.0.2:7204"
registry = "10.0.0.2:7205"
[replica]
data_dir = "data"
faults = 2
[retry]
ratio = 0.2
slack = 20
`

// TestNumbersOutOfRangeAreRefused guards against settings that give a process a bound which is no
// number, a time that overflows, or an address that nothing can listen on.
func TestNumbersOutOfRangeAreRefused(t *testing.T) {
	for from, to := range map[string]string{
		"ratio = 0.2":         "ratio = nan",
		"slack = 20":          "slack = inf",
		"control_port = 7201": "control_port = 70000",
		"memory_mb = 512":     "memory_mb = 9223372036854775807",
		"faults = 2":          "faults = -1",
		"10.0.0.2:7204":       "10.0.0.2:99999",
		"[retry]":             "[stop]\ngrace_ms = 9223372036854775807\n[retry]",
		"\n[retry]":           "\n[stop]\ngrace_ms = nan\n[retry]",
		"memory_mb = 512\n":   "memory_mb = nan\n",
	} {
		text := strings.Replace(siteText, from, to, 1)
		if _, violations := DecodeSite([]byte(text), RoleGateway); len(violations) != 1 || text == siteText {
			t.Errorf("%s: got violations %q, want one", to, violations)
		}
	}
}

// FuzzDecodeSite guards against a settings file that ends the process while it is read, or that is
// accepted with numbers which are none.
func FuzzDecodeSite(f *testing.F) {
	f.Add([]byte(siteText), true)
	f.Add([]byte(siteText), false)
	f.Add([]byte("[retry]\nratio = nan"), true)
	f.Add([]byte("[cold]\nover = inf"), true)
	f.Fuzz(func(t *testing.T, b []byte, gateway bool) {
		role := RoleRegistry
		if gateway {
			role = RoleGateway
		}
		s, violations := DecodeSite(b, role)
		if len(violations) > 0 {
			return
		}
		if s.StopTimeout() <= 0 || gateway && !(s.Retry.Ratio+s.Retry.Burst < math.Inf(1)) || len(s.ControlAddresses()) != len(s.Seeds) {
			t.Fatalf("%+v was accepted", s)
		}
		encoded := encode(t, s)
		again, violations := DecodeSite(encoded, role)
		if len(violations) > 0 || !reflect.DeepEqual(encode(t, again), encoded) {
			t.Errorf("written as %s it is %+v (%q), want %+v", encoded, again, violations, s)
		}
	})
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	b, err := toml.Marshal(v)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return b
}

// FuzzDecode guards against the same in the settings of entries, agents and control instances.
func FuzzDecode(f *testing.F) {
	roles := []Role{RoleEntry, RoleAgent, RoleControl}
	for i, role := range roles {
		b, err := os.ReadFile("../../../examples/" + string(role) + ".toml")
		if err != nil {
			f.Fatalf("read example: %v", err)
		}
		f.Add(b, i)
	}
	f.Add([]byte("name = \"x\""), 2)
	f.Fuzz(func(t *testing.T, b []byte, i int) {
		role := roles[uint(i)%uint(len(roles))]
		s, violations := Decode(b, role)
		if len(violations) > 0 {
			return
		}
		if min(s.Entry.StopTimeout(), s.Entry.DrainDelay(), s.Agent.StallTimeout()) < 0 {
			t.Fatalf("%+v was accepted", s)
		}
		encoded := encode(t, s)
		again, violations := Decode(encoded, role)
		if len(violations) > 0 || !reflect.DeepEqual(encode(t, again), encoded) {
			t.Errorf("written as %s it is %+v (%q), want %+v", encoded, again, violations, s)
		}
	})
}

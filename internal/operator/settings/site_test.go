package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSiteExamples(t *testing.T) {
	for _, role := range []Role{RoleGateway, RoleRegistry} {
		b, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", string(role)+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		s, faults := DecodeSite(b, role)
		if len(faults) > 0 {
			t.Errorf("%s: %v", role, faults)
		}
		if got, want := strings.Join(s.Controls(), " "), "10.1.0.41:7755 10.2.0.25:7755 10.3.0.12:7755"; got != want {
			t.Errorf("%s: control instances %s, want %s", role, got, want)
		}
	}
}

func TestSiteFaultsNameTheFieldAndTheRemedy(t *testing.T) {
	for role, wants := range map[Role][]string{
		RoleGateway:  {"name: missing", "zone: missing", "fleet_key_file: missing", "seeds: missing", "control_port: missing", "listen.link", "listen.callers", "listen.ready"},
		RoleRegistry: {"listen.registry", "replica.data_dir: missing"},
		"other":      {"unknown role other"},
	} {
		_, faults := DecodeSite(nil, role)
		all := strings.Join(faults, "\n")
		for _, want := range wants {
			if !strings.Contains(all, want) {
				t.Errorf("%s: no fault with %q in\n%s", role, want, all)
			}
		}
	}
	for text, want := range map[string]bool{"relay = true": false, "relay = true\ndata_dir = \"/d\"": true, "relay = false": true} {
		_, faults := DecodeSite([]byte("[replica]\n"+text+"\n"), RoleRegistry)
		if got := strings.Contains(strings.Join(faults, "\n"), "replica."); got != want {
			t.Errorf("%q: a fault of the data folder is %t, want %t: %v", text, got, want, faults)
		}
	}
	if _, faults := DecodeSite([]byte("nmae = \"x\"\n"), RoleGateway); len(faults) != 1 || !strings.Contains(faults[0], "line 1") {
		t.Errorf("unknown field: got %v, want one fault that names line 1", faults)
	}
}

package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSiteExamplesAreValid(t *testing.T) {
	for _, role := range []Role{RoleGateway, RoleRegistry} {
		b, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", string(role)+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		s, violations := DecodeSite(b, role)
		if len(violations) > 0 {
			t.Errorf("%s: %v", role, violations)
		}
		if got, want := strings.Join(s.ControlAddresses(), " "), "10.1.0.41:7755 10.2.0.25:7755 10.3.0.12:7755"; got != want {
			t.Errorf("%s: control instances %s, want %s", role, got, want)
		}
	}
}

// Guards against sharing by account where the settings do not ask for it.
func TestSharingByAccountIsOffByDefault(t *testing.T) {
	for text, want := range map[string]bool{"": false, "[fair]\n": false, "[fair]\naccounts = false\n": false, "[fair]\naccounts = true\n": true} {
		if s, _ := DecodeSite([]byte(text), RoleGateway); s.Fair.Accounts != want {
			t.Errorf("%q: sharing by account is %t, want %t", text, s.Fair.Accounts, want)
		}
	}
	if _, violations := DecodeSite([]byte("[fair]\naccounts = 1\n"), RoleGateway); len(violations) != 1 || !strings.Contains(violations[0], "SiteFair.Accounts") {
		t.Errorf("a number in fair.accounts: got %v, want one violation that names the field", violations)
	}
}

func TestSiteViolationsNameFieldAndRemedy(t *testing.T) {
	for role, wants := range map[Role][]string{
		RoleGateway:  {"name: missing", "zone: missing", "fleet_key_file: missing", "seeds: missing", "control_port: missing", "listen.link", "listen.callers", "listen.ready"},
		RoleRegistry: {"listen.registry", "replica.data_dir: missing"},
		"other":      {"unknown role other"},
	} {
		_, violations := DecodeSite(nil, role)
		all := strings.Join(violations, "\n")
		for _, want := range wants {
			if !strings.Contains(all, want) {
				t.Errorf("%s: no violation with %q in\n%s", role, want, all)
			}
		}
	}
	for text, want := range map[string]bool{"relay = true": false, "relay = true\ndata_dir = \"/d\"": true, "relay = false": true} {
		_, violations := DecodeSite([]byte("[replica]\n"+text+"\n"), RoleRegistry)
		if got := strings.Contains(strings.Join(violations, "\n"), "replica."); got != want {
			t.Errorf("%q: violation of the replica settings is %t, want %t: %v", text, got, want, violations)
		}
	}
	if _, violations := DecodeSite([]byte("nmae = \"x\"\n"), RoleGateway); len(violations) != 1 || !strings.Contains(violations[0], "line 1") {
		t.Errorf("unknown field: got %v, want one violation that names line 1", violations)
	}
}

// Guards against gateways that learn without being told to, and against a value that is
// neither true nor false being taken for one of them.
func TestCapacityIsLearnedOnlyIfEnabled(t *testing.T) {
	for text, want := range map[string]bool{"": false, "[capacity]\n": false, "[capacity]\nlearn = false\n": false, "[capacity]\nlearn = true\n": true} {
		s, _ := DecodeSite([]byte(text), RoleGateway)
		if got := s.Capacity.Learn; got != want {
			t.Errorf("%q: got %t, want %t", text, got, want)
		}
	}
	for _, text := range []string{"[capacity]\nlearn = 1\n", "[capacity]\nlearning = true\n"} {
		if _, violations := DecodeSite([]byte(text), RoleGateway); len(violations) != 1 || !strings.Contains(violations[0], "line 2") {
			t.Errorf("%q: got %v, want one violation that names line 2", text, violations)
		}
	}
}

// Guards against a bound that protects no upstream or lets no request pass, and against
// settings files of earlier deployments that are refused.
func TestColdSettings(t *testing.T) {
	for text, want := range map[string]string{
		"cold.over = 2\ncold.slack = 3": "",
		"":                              "",
		"[cold]\nover = 2\n":            "",
		"[cold]\nover = 1.5\nslack = 0": "",
		"[cold]\nover = 0.5":            "cold.over",
		"[cold]\nover = nan":            "cold.over",
		"[cold]\nover = inf":            "cold.over",
		"[cold]\nover = 1e6":            "cold.over",
		"[cold]\nslack = -1":            "cold.slack",
		"[cold]\nslack = nan":           "cold.slack",
		"[cold]\nslack = 1e9":           "cold.slack",
	} {
		s, violations := DecodeSite([]byte(text), RoleGateway)
		got := ""
		for _, v := range violations {
			if strings.HasPrefix(v, "cold.") {
				got += v
			}
		}
		if (got == "") != (want == "") || !strings.HasPrefix(got, want) {
			t.Errorf("%q: got %q, want a violation of %q", text, got, want)
		}
		if text == "" && s.Cold != (SiteCold{Over: defaultColdOver, Slack: defaultColdSlack}) {
			t.Errorf("without a section: got %+v, want the defaults", s.Cold)
		}
	}
}

// Guards against gateways that reserve capacity without being told to, and against a value
// that is neither true nor false being taken for one of them.
func TestChainsAreReservedOnlyIfEnabled(t *testing.T) {
	for text, want := range map[string]bool{"": false, "[chains]\n": false, "[chains]\nreserve = false\n": false, "[chains]\nreserve = true\n": true} {
		if s, _ := DecodeSite([]byte(text), RoleGateway); s.Chains.Reserve != want {
			t.Errorf("%q: got %t, want %t", text, s.Chains.Reserve, want)
		}
	}
	for _, text := range []string{"[chains]\nreserve = 1\n", "[chains]\nreserved = true\n"} {
		if _, violations := DecodeSite([]byte(text), RoleGateway); len(violations) != 1 || !strings.Contains(violations[0], "line 2") {
			t.Errorf("%q: got %v, want one violation that names line 2", text, violations)
		}
	}
}

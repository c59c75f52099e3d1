package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Role is the role of a process in the fleet.
type Role string

// Roles of a process.
const (
	// RoleEntry accepts requests of callers and runs their pipelines.
	RoleEntry Role = "entry"
	// RoleAgent is the sidecar of one upstream, through which entries call it.
	RoleAgent Role = "agent"
	// RoleControl holds a replica of the replicated state.
	RoleControl Role = "control"
	// RoleGateway is an entry that calls upstreams directly, without agents.
	RoleGateway Role = "gateway"
	// RoleRegistry is a control instance to which upstreams announce themselves.
	RoleRegistry Role = "registry"
)

// Settings holds the settings of an entry, an agent or a control instance.
type Settings struct {
	// Name is the instance name, unique in the fleet.
	Name string `toml:"name"`
	// Zone is the availability zone.
	Zone string `toml:"zone"`
	// LogLevel is debug, info, warn or error; the default is info.
	LogLevel string `toml:"log_level"`
	// FleetKeyFile names the file with the fleet's shared key, at least 16
	// bytes.
	FleetKeyFile string `toml:"fleet_key_file"`
	Listen       Listen `toml:"listen"`
	// Control lists all control instances.
	Control []Peer  `toml:"control"`
	TLS     TLS     `toml:"tls"`
	Replica Replica `toml:"replica"`
	Agent   Agent   `toml:"agent"`
	Entry   Entry   `toml:"entry"`
}

// Listen holds the addresses on which the process listens, each as IP:port.
type Listen struct {
	// HTTP serves callers, operators, health and metrics.
	HTTP string `toml:"http"`
	// Link serves streams of other processes over TCP.
	Link string `toml:"link"`
	// Gossip serves the membership protocol over UDP.
	Gossip string `toml:"gossip"`
}

// Peer holds the addresses of one control instance.
type Peer struct {
	Name string `toml:"name"`
	// Link is the TCP address as IP:port.
	Link string `toml:"link"`
	// Gossip is the UDP address as IP:port.
	Gossip string `toml:"gossip"`
}

// TLS names the files for mutual TLS between the processes; all three or none.
type TLS struct {
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	CAFile   string `toml:"ca_file"`
}

// Replica holds the settings of the replicated state on a control instance.
type Replica struct {
	// DataDir is the data folder of the Raft log and its snapshots.
	DataDir string `toml:"data_dir"`
	// DocumentFile names the file with the initial configuration document, which
	// is used when the fleet is bootstrapped.
	DocumentFile string `toml:"document_file"`
	// TickMs is the tick interval in milliseconds; the default is 50.
	TickMs int `toml:"tick_ms"`
	// SnapshotEntries is the number of log entries between snapshots; the
	// default is 20000.
	SnapshotEntries int `toml:"snapshot_entries"`
}

// Agent holds the settings that apply only to agents.
type Agent struct {
	// Announce is the loopback address on which the agent accepts the
	// announcements of its upstream.
	Announce string `toml:"announce"`
	// StallMs is the time without progress from the upstream after which a call
	// is abandoned, in milliseconds; the default is 3000.
	StallMs int `toml:"stall_ms"`
}

// Entry holds the settings that apply only to entries.
type Entry struct {
	// MaxBodyBytes bounds the body of a caller's request; the default is 1 MiB.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// DrainMs is how long the entry keeps serving after its readiness check has
	// started to fail, so that the load balancer notices, in milliseconds; the
	// default is 1000.
	DrainMs int `toml:"drain_ms"`
	// StopMs bounds a graceful stop, in milliseconds; the default is 20000.
	StopMs int `toml:"stop_ms"`
}

// ValidationError reports all violations in a settings file.
type ValidationError struct {
	File       string
	Violations []string
}

// Error lists the violations, one per line.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("settings %s: %s", e.File, strings.Join(e.Violations, "\n"))
}

// Load reads and validates the settings of a role. If the file can be read but
// is invalid, the error is a *ValidationError.
func Load(file string, role Role) (Settings, error) {
	return loadFile(file, role, Decode)
}

// loadFile reads a settings file and decodes it for a role.
func loadFile[T any](file string, role Role, decode func([]byte, Role) (T, []string)) (T, error) {
	var zero T
	b, err := os.ReadFile(file)
	if err != nil {
		return zero, fmt.Errorf("read settings: %w; give the file with --settings", err)
	}
	s, violations := decode(b, role)
	if len(violations) > 0 {
		return zero, &ValidationError{File: file, Violations: violations}
	}
	return s, nil
}

// Decode decodes and validates settings and returns all violations.
func Decode(b []byte, role Role) (Settings, []string) {
	s := Settings{
		LogLevel: "info",
		Replica:  Replica{TickMs: 50, SnapshotEntries: 20_000},
		Agent:    Agent{StallMs: 3000},
		Entry:    Entry{MaxBodyBytes: 1 << 20, DrainMs: 1000, StopMs: 20_000},
	}
	if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&s); err != nil {
		return Settings{}, decodeViolations(err)
	}
	return s, s.validate(role)
}

func decodeViolations(err error) []string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out []string
		for _, e := range strict.Errors {
			row, _ := e.Position()
			out = append(out, fmt.Sprintf("line %d: unknown field %s; remove it or correct its name", row, strings.Join(e.Key(), ".")))
		}
		return out
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return []string{fmt.Sprintf("line %d: %s; correct the TOML", row, decode.Error())}
	}
	return []string{err.Error() + "; correct the TOML"}
}

func (s Settings) validate(role Role) []string {
	out := identityViolations(s.Name, s.Zone, s.FleetKeyFile)
	add := func(field, remedy string) { out = append(out, field+": "+remedy) }
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		add("log_level", "unknown level "+s.LogLevel+"; use debug, info, warn or error")
	}
	out = append(out, addressViolation("listen.http", s.Listen.HTTP)...)
	out = append(out, addressViolation("listen.link", s.Listen.Link)...)
	out = append(out, addressViolation("listen.gossip", s.Listen.Gossip)...)
	if len(s.Control) == 0 {
		add("control", "missing; list the control instances")
	}
	for i, p := range s.Control {
		field := fmt.Sprintf("control[%d]", i)
		if p.Name == "" {
			add(field+".name", "missing; give the instance's name")
		}
		out = append(out, addressViolation(field+".link", p.Link)...)
		out = append(out, addressViolation(field+".gossip", p.Gossip)...)
	}
	if n := s.TLS.fileCount(); n != 0 && n != 3 {
		add("tls", "cert_file, key_file and ca_file belong together; give all three or none")
	}
	return append(out, s.roleViolations(role)...)
}

// identityViolations checks the settings that identify a process.
func identityViolations(name, zone, keyFile string) []string {
	var out []string
	if name == "" {
		out = append(out, "name: missing; give the instance a name that is unique in the fleet")
	}
	if zone == "" {
		out = append(out, "zone: missing; give the availability zone")
	}
	if keyFile == "" {
		out = append(out, "fleet_key_file: missing; name the file with the fleet's shared key")
	}
	return out
}

func (s Settings) roleViolations(role Role) []string {
	var out []string
	switch role {
	case RoleControl:
		if s.Replica.DataDir == "" {
			out = append(out, "replica.data_dir: missing; name the data folder on the disk")
		}
		if s.Replica.DocumentFile == "" {
			out = append(out, "replica.document_file: missing; name the first document")
		}
		if s.Replica.TickMs < 1 || s.Replica.TickMs > maxMs || s.Replica.SnapshotEntries < 1 {
			out = append(out, fmt.Sprintf("replica: tick_ms and snapshot_entries must be positive, tick_ms at most %d", maxMs))
		}
		if !s.controlIncludesSelf() {
			out = append(out, "control: does not list "+s.Name+"; list every control instance, this one too")
		}
	case RoleAgent:
		out = append(out, addressViolation("agent.announce", s.Agent.Announce)...)
		if s.Agent.StallMs < 1 || s.Agent.StallMs > maxMs {
			out = append(out, fmt.Sprintf("agent.stall_ms: %d; give a time from 1 to %d", s.Agent.StallMs, maxMs))
		}
	case RoleEntry:
		if s.Entry.MaxBodyBytes < 1 || s.Entry.StopMs < 1 || s.Entry.DrainMs < 0 || max(s.Entry.StopMs, s.Entry.DrainMs) > maxMs {
			out = append(out, fmt.Sprintf("entry: max_body_bytes and stop_ms must be positive, drain_ms not negative, both times at most %d", maxMs))
		}
	default:
		out = append(out, "unknown role "+string(role))
	}
	return out
}

// controlIncludesSelf reports whether Control lists this instance.
func (s Settings) controlIncludesSelf() bool {
	for _, p := range s.Control {
		if p.Name == s.Name {
			return true
		}
	}
	return false
}

func addressViolation(field, address string) []string {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return []string{fmt.Sprintf("%s: %q is not IP:port; give an address such as 10.0.0.5:7100", field, address)}
	}
	return nil
}

// fileCount returns how many of the three files are set.
func (t TLS) fileCount() int {
	n := 0
	for _, f := range []string{t.CertFile, t.KeyFile, t.CAFile} {
		if f != "" {
			n++
		}
	}
	return n
}

// Enabled reports whether mutual TLS is enabled.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// minKeyBytes is the minimum length of the fleet's shared key.
const minKeyBytes = 16

// FleetKey reads the fleet's shared key from FleetKeyFile.
func (s Settings) FleetKey() ([]byte, error) { return readKey(s.FleetKeyFile) }

func readKey(file string) ([]byte, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read fleet key: %w; check the setting fleet_key_file", err)
	}
	b = bytes.TrimSpace(b)
	if len(b) < minKeyBytes {
		return nil, fmt.Errorf("fleet key in %s is shorter than %d bytes; make a longer one", file, minKeyBytes)
	}
	return b, nil
}

// StallTimeout returns StallMs as a duration.
func (a Agent) StallTimeout() time.Duration { return time.Duration(a.StallMs) * time.Millisecond }

// DrainDelay returns DrainMs as a duration.
func (e Entry) DrainDelay() time.Duration { return time.Duration(e.DrainMs) * time.Millisecond }

// StopTimeout returns StopMs as a duration.
func (e Entry) StopTimeout() time.Duration { return time.Duration(e.StopMs) * time.Millisecond }

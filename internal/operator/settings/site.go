package settings

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Site holds the settings of a gateway or a registry.
type Site struct {
	// Name is the instance name, unique in the fleet.
	Name string `toml:"name"`
	// Zone is the availability zone.
	Zone string `toml:"zone"`
	// LogLevel is debug, info, warn or error; the default is info.
	LogLevel string `toml:"log_level"`
	// FleetKeyFile names the file with the fleet's shared key, at least 16
	// bytes.
	FleetKeyFile string     `toml:"fleet_key_file"`
	Listen       SiteListen `toml:"listen"`
	// Seeds are addresses of control instances as IP:port. Their ports are
	// ignored in favour of ControlPort.
	Seeds []string `toml:"seeds"`
	// ControlPort is the TCP port on which control instances accept links.
	ControlPort int `toml:"control_port"`
	// MemoryMB is the memory of the instance in MiB, from which the process
	// derives its memory limit; 0 sets no limit.
	MemoryMB float64      `toml:"memory_mb"`
	Replica  SiteReplica  `toml:"replica"`
	Stop     SiteStop     `toml:"stop"`
	Retry    SiteRetry    `toml:"retry"`
	Capacity SiteCapacity `toml:"capacity"`
	Fair     SiteFair     `toml:"fair"`
	Cold     SiteCold     `toml:"cold"`
	Chains   SiteChains   `toml:"chains"`
}

// SiteChains configures how requests with stages start.
type SiteChains struct {
	// Reserve tells the owners of later stages what admitted requests will send them, and
	// starts a request when the queues of all its stages, with that, leave it enough time.
	// It is set on all gateways or on none: one without it takes more than its part. The
	// default is false.
	Reserve bool `toml:"reserve"`
}

// SiteCapacity configures how a gateway judges the capacity of upstreams.
type SiteCapacity struct {
	// Learn chooses upstreams by the capacity learned from their answers instead of by
	// their slots. The gateways of a fleet should all have the same value, because they
	// share what they learn.
	Learn bool `toml:"learn"`
}

// SiteCold bounds the requests of all gateways together that may reach a cold upstream
// within a second. It matters where the site document says what cold upstreams tolerate.
type SiteCold struct {
	// Over is the bound as a multiple of what the upstream tolerates in a second; the
	// default is 1.5.
	Over float64 `toml:"over"`
	// Slack is added to the bound, in requests; the default is 5.
	Slack float64 `toml:"slack"`
}

const (
	// defaultColdOver and defaultColdSlack are the bound where a deployment gives none.
	defaultColdOver  = 1.5
	defaultColdSlack = 5
	// maxColdOver and maxColdSlack are beyond any bound that protects an upstream.
	maxColdOver  = 100
	maxColdSlack = 10_000
)

// violations returns the violations of the settings.
func (c SiteCold) violations() []string {
	var out []string
	if !(c.Over >= 1 && c.Over <= maxColdOver) {
		out = append(out, fmt.Sprintf("cold.over: %v; give the multiple of what a cold upstream tolerates that may reach it, from 1 to %d", c.Over, maxColdOver))
	}
	if !(c.Slack >= 0 && c.Slack <= maxColdSlack) {
		out = append(out, fmt.Sprintf("cold.slack: %v; give the requests that may reach a cold upstream besides, from 0 to %d", c.Slack, maxColdSlack))
	}
	return out
}

// SiteListen holds the addresses on which the process listens, each as IP:port.
// An empty address is not served.
type SiteListen struct {
	// Callers serves the callers of a gateway.
	Callers string `toml:"callers"`
	// Ready serves the readiness check of the load balancer in front of a
	// gateway.
	Ready string `toml:"ready"`
	// Registry serves the upstreams and operators that call a registry.
	Registry string `toml:"registry"`
	// Link serves streams of other processes over TCP.
	Link string `toml:"link"`
	// Health serves health and metrics.
	Health string `toml:"health"`
}

// SiteReplica holds the settings of the replicated state on a registry.
type SiteReplica struct {
	// DataDir is the data folder of the Raft log and its snapshots.
	DataDir string `toml:"data_dir"`
	// Relay is set on an instance without a disk: it holds no state and relays
	// calls to instances that do.
	Relay bool `toml:"relay"`
	// Bootstrap is set when the whole fleet starts for the first time, and never again for
	// an instance that has lost its disk.
	Bootstrap bool `toml:"first"`
	// MaxFailures is the number f of control instances that may be lost at once;
	// it sets the number of voters to 2f+1. The default is 1.
	MaxFailures int `toml:"faults"`
}

// SiteStop bounds a graceful stop.
type SiteStop struct {
	// GraceMs is the time from the stop signal to the end of the process, in
	// milliseconds; the default is 8000.
	GraceMs float64 `toml:"grace_ms"`
}

// SiteRetry bounds retries over all gateways together.
type SiteRetry struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64 `toml:"ratio"`
	// Burst is the number of retries allowed in a window regardless of Ratio.
	Burst float64 `toml:"slack"`
}

// SiteFair sets how scarce capacity is shared.
type SiteFair struct {
	// Accounts shares scarce capacity between the accounts of the document, if it has
	// any. It is set on all gateways or on none: the one that owns a service decides for
	// all. The default is false.
	Accounts bool `toml:"accounts"`
}

// LoadSite reads and validates the settings of a gateway or registry. If the file
// can be read but is invalid, the error is a *ValidationError.
func LoadSite(file string, role Role) (Site, error) {
	return loadFile(file, role, DecodeSite)
}

// DecodeSite decodes and validates settings and returns all violations.
func DecodeSite(b []byte, role Role) (Site, []string) {
	s := Site{LogLevel: "info", Stop: SiteStop{GraceMs: 8000}, Replica: SiteReplica{MaxFailures: 1}, Cold: SiteCold{Over: defaultColdOver, Slack: defaultColdSlack}}
	if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&s); err != nil {
		return Site{}, decodeViolations(err)
	}
	return s, s.validate(role)
}

const (
	// maxPort is the highest TCP port.
	maxPort = 65535
	// maxMs is the longest time in a settings file, a day in milliseconds. A longer one is a
	// wrong unit.
	maxMs = 24 * 60 * 60 * 1000
	// maxMemoryMB is the largest memory of an instance, 2^24 MiB, whose number of bytes fits
	// an int64.
	maxMemoryMB = 1 << 24
	// maxFaults is the largest number of control instances that may be lost at once.
	maxFaults = 100
	// maxRetries is beyond any bound of retries that protects upstreams.
	maxRetries = 1_000_000
)

func (s Site) validate(role Role) []string {
	out := identityViolations(s.Name, s.Zone, s.FleetKeyFile)
	add := func(field, remedy string) { out = append(out, field+": "+remedy) }
	if len(s.Seeds) == 0 {
		add("seeds", "missing; list control instances")
	}
	if s.ControlPort < 1 || s.ControlPort > maxPort {
		add("control_port", "missing; give the port at which control instances take links")
	}
	if !(s.Stop.GraceMs >= 1 && s.Stop.GraceMs <= maxMs) {
		add("stop.grace_ms", fmt.Sprintf("%v; give a time from 1 to %d", s.Stop.GraceMs, maxMs))
	}
	if !(s.MemoryMB >= 0 && s.MemoryMB <= maxMemoryMB) {
		add("memory_mb", fmt.Sprintf("%v; give the memory of the instance, at most %d, or 0 for no limit", s.MemoryMB, maxMemoryMB))
	}
	if s.Replica.MaxFailures < 0 || s.Replica.MaxFailures > maxFaults {
		add("replica.faults", fmt.Sprintf("%d; give a number from 0 to %d", s.Replica.MaxFailures, maxFaults))
	}
	for i, seed := range s.Seeds {
		out = append(out, addressViolation(fmt.Sprintf("seeds[%d]", i), seed)...)
	}
	out = append(out, addressViolation("listen.link", s.Listen.Link)...)
	out = append(out, s.Cold.violations()...)
	switch role {
	case RoleGateway:
		out = append(out, addressViolation("listen.callers", s.Listen.Callers)...)
		out = append(out, addressViolation("listen.ready", s.Listen.Ready)...)
		if !(s.Retry.Ratio >= 0 && s.Retry.Ratio <= maxRetries && s.Retry.Burst >= 0 && s.Retry.Burst <= maxRetries) {
			add("retry", fmt.Sprintf("ratio and slack must not be negative and at most %d", maxRetries))
		}
	case RoleRegistry:
		out = append(out, addressViolation("listen.registry", s.Listen.Registry)...)
		if s.Replica.DataDir == "" && !s.Replica.Relay {
			add("replica.data_dir", "missing; name the data folder on the disk, or set replica.relay where there is no disk")
		}
		if s.Replica.DataDir != "" && s.Replica.Relay {
			add("replica.relay", "an instance with a data folder is no relay; give one of both")
		}
	default:
		add("role", "unknown role "+string(role))
	}
	return out
}

// ControlAddresses returns the link addresses of the seeds, with ControlPort.
func (s Site) ControlAddresses() []string {
	var out []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // validate rejects such a seed
		}
		out = append(out, net.JoinHostPort(host, strconv.Itoa(s.ControlPort)))
	}
	return out
}

// StopTimeout returns Stop.GraceMs as a duration.
func (s Site) StopTimeout() time.Duration {
	return time.Duration(s.Stop.GraceMs * float64(time.Millisecond))
}

// MemoryBytes returns MemoryMB in bytes.
func (s Site) MemoryBytes() int64 { return int64(s.MemoryMB * (1 << 20)) }

// FleetKey reads the fleet's shared key from FleetKeyFile.
func (s Site) FleetKey() ([]byte, error) { return readKey(s.FleetKeyFile) }

package settings

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Site is what a gateway or registry process is told at its start.
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
	// Seeds are addresses of control instances as IP:port. Their ports are not
	// used: ControlPort is.
	Seeds []string `toml:"seeds"`
	// ControlPort is the TCP port at which control instances take links.
	ControlPort int       `toml:"control_port"`
	MemoryMb    int       `toml:"memory_mb"`
	Replica     SiteStore `toml:"replica"`
	Stop        SiteStop  `toml:"stop"`
	Retry       SiteRetry `toml:"retry"`
}

// SiteListen is where the process listens, each as IP:port. An empty address
// is not served.
type SiteListen struct {
	// Callers serves the callers of a gateway.
	Callers string `toml:"callers"`
	// Ready answers the balancer.
	Ready string `toml:"ready"`
	// Registry serves upstreams and operators of a registry.
	Registry string `toml:"registry"`
	// Link serves the other processes over TCP.
	Link string `toml:"link"`
	// Health serves health and metrics.
	Health string `toml:"health"`
}

// SiteStore is the durable state of a registry.
type SiteStore struct {
	// DataDir is the data folder.
	DataDir string `toml:"data_dir"`
	// Relay is set on an instance without a disk: it holds no state and sends
	// calls on to those that do.
	Relay bool `toml:"relay"`
	// First is set when the whole fleet starts for the first time.
	First bool `toml:"first"`
	// Faults is the number of instances that may be lost at once.
	Faults int `toml:"faults"`
}

// SiteStop bounds a graceful stop.
type SiteStop struct {
	// GraceMs is the time from the signal to the end.
	GraceMs int `toml:"grace_ms"`
}

// SiteRetry bounds the extra sends over all gateways.
type SiteRetry struct {
	// Ratio is the number of extra sends for each request.
	Ratio float64 `toml:"ratio"`
	// Slack is the number of extra sends that are free in a window.
	Slack float64 `toml:"slack"`
}

// LoadSite reads and validates the settings of a gateway or registry. The error
// is a *FaultError where the file could be read.
func LoadSite(file string, role Role) (Site, error) {
	return loadAs(file, role, DecodeSite)
}

// DecodeSite decodes and validates settings and returns every fault.
func DecodeSite(b []byte, role Role) (Site, []string) {
	s := Site{LogLevel: "info", Stop: SiteStop{GraceMs: 8000}, Replica: SiteStore{Faults: 1}}
	if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&s); err != nil {
		return Site{}, decodeFaults(err)
	}
	return s, s.faults(role)
}

func (s Site) faults(role Role) []string {
	out := identityFaults(s.Name, s.Zone, s.FleetKeyFile)
	add := func(field, remedy string) { out = append(out, field+": "+remedy) }
	if len(s.Seeds) == 0 {
		add("seeds", "missing; list control instances")
	}
	if s.ControlPort < 1 {
		add("control_port", "missing; give the port at which control instances take links")
	}
	if s.Stop.GraceMs < 1 {
		add("stop.grace_ms", "must be positive")
	}
	for i, seed := range s.Seeds {
		out = append(out, addressFault(fmt.Sprintf("seeds[%d]", i), seed)...)
	}
	out = append(out, addressFault("listen.link", s.Listen.Link)...)
	switch role {
	case RoleGateway:
		out = append(out, addressFault("listen.callers", s.Listen.Callers)...)
		out = append(out, addressFault("listen.ready", s.Listen.Ready)...)
		if s.Retry.Ratio < 0 || s.Retry.Slack < 0 {
			add("retry", "ratio and slack must not be negative")
		}
	case RoleRegistry:
		out = append(out, addressFault("listen.registry", s.Listen.Registry)...)
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

// Controls returns the link addresses of the seeds.
func (s Site) Controls() []string {
	var out []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // Refused by faults before.
		}
		out = append(out, net.JoinHostPort(host, strconv.Itoa(s.ControlPort)))
	}
	return out
}

// Grace returns the time from a stop signal to the end.
func (s Site) Grace() time.Duration { return time.Duration(s.Stop.GraceMs) * time.Millisecond }

// FleetKey reads the shared key.
func (s Site) FleetKey() ([]byte, error) { return readKey(s.FleetKeyFile) }

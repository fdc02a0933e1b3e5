package loader

import (
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/decoder"
	"apricotspool/namer"
)

// GatewaySettings holds the settings of a daemon that serves routes and gets its configuration and endpoints
// from the object API.
type GatewaySettings struct {
	// Host is the name of the host of this process, which is unique in the fleet.
	Host namer.Host `json:"host"`
	// DataCentre is the data centre of the host.
	DataCentre namer.DataCentre `json:"data-centre"`
	// DataCentres maps every data centre to its region.
	DataCentres map[namer.DataCentre]namer.Region `json:"data-centres,omitzero"`
	// Callers is the address on which callers send requests.
	Callers netip.AddrPort `json:"callers"`
	// Health is the address of the readiness check of the load balancer.
	Health netip.AddrPort `json:"health"`
	// Peers is the address on which other daemons connect.
	Peers netip.AddrPort `json:"peers"`
	// Datagrams is the UDP address for short messages between daemons.
	Datagrams netip.AddrPort `json:"datagrams"`
	// Seeds are the peer addresses of other daemons from which this one learns the membership.
	Seeds []netip.AddrPort `json:"seeds,omitzero"`
	// ObjectAPI is the address of the platform's object API.
	ObjectAPI netip.AddrPort `json:"object-api"`
	// Drain bounds a graceful shutdown. Drain.Limit is the time from the shutdown request to the end of
	// the process.
	Drain Drain `json:"drain,omitzero"`
	// StalenessBounds bounds the time within which all daemons learn of a change.
	StalenessBounds StalenessBounds `json:"news,omitzero"`
	// Retries bounds the retries of all daemons together.
	Retries RetryBudget `json:"retries,omitzero"`
	// CommandGap is the shortest time between commands of two daemons to the same engine.
	CommandGap namer.Duration `json:"command-gap,omitzero"`
	// MemoryMB is the memory limit of the process in MB, at which it is killed; 0 means no limit.
	MemoryMB float64 `json:"memory-mb,omitzero"`
	// Descriptors is the maximum number of sockets that the process may open; 0 means no limit.
	Descriptors float64 `json:"descriptors,omitzero"`
	// RevocationBound is the time after the withdrawal of a key within which every daemon stops accepting it. 0 means that
	// the age of the configuration doesn't limit the use of keys.
	RevocationBound namer.Duration `json:"revocation-bound,omitzero"`
	// PlatformAPI is the platform's interface for duties that one daemon performs at a time.
	PlatformAPI PlatformAPI `json:"platform-api,omitzero"`
	// Metering describes the windows in which the requests of workspaces are counted.
	Metering Metering `json:"metering,omitzero"`
	// LogLevel is the lowest level that is logged. Empty means "info".
	LogLevel string `json:"log-level,omitempty"`
}

// PlatformAPI is the platform's interface for metering and capacity. It is used if its address is set.
type PlatformAPI struct {
	Address netip.AddrPort `json:"address"`
	// CallsPerSecond is the number of calls a second that are accepted from all daemons together; 0 means
	// DefaultPlatformAPICalls.
	CallsPerSecond float64 `json:"calls-per-second,omitzero"`
	// Duties are the calls that the platform expects.
	Duties []Duty `json:"duties"`
}

// Duty is a task that one daemon at a time performs at the platform's interface.
type Duty string

// The duties. Others are ignored.
const (
	DutyMetering  Duty = "metering"
	DutyAutoscale Duty = "autoscale"
)

// Has reports whether the platform expects a duty.
func (p *PlatformAPI) Has(duty Duty) bool {
	return p.Address.IsValid() && slices.Contains(p.Duties, duty)
}

// Metering holds the length of a metering window and the time after its end at which its report is due.
type Metering struct {
	Window namer.Duration `json:"window,omitzero"`
	Due    namer.Duration `json:"due,omitzero"`
}

// StalenessBounds bounds the age of the configuration and of the endpoints that a daemon uses; 0 means
// DefaultStalenessBound.
type StalenessBounds struct {
	Configuration namer.Duration `json:"configuration,omitzero"`
	Endpoints     namer.Duration `json:"endpoints,omitzero"`
}

// RetryBudget bounds retries: in any time window, the retries of a service number at most Ratio times its
// requests plus Slack.
type RetryBudget struct {
	Ratio  float64        `json:"ratio,omitzero"`
	Slack  float64        `json:"slack,omitzero"`
	Window namer.Duration `json:"window,omitzero"`
}

// Defaults of the settings of a gateway.
const (
	DefaultGatewayNotice  = 3 * time.Second
	DefaultGatewayLimit   = 8 * time.Second
	DefaultStalenessBound = 2 * time.Second
	DefaultRetryRatio     = 0.1
	DefaultRetrySlack     = 20
	DefaultRetryWindow    = 10 * time.Second
	DefaultCommandGap     = 3 * time.Second

	DefaultPlatformAPICalls = 50
	DefaultMeteringWindow   = 5 * time.Second
	DefaultMeteringDue      = 10 * time.Second
)

// LoadGateway reads and checks a settings file. Faults in it are returned as decoder.Faults.
func LoadGateway(name string) (*GatewaySettings, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseGateway(text)
}

// ParseGateway decodes and checks settings and sets unset fields to their defaults.
func ParseGateway(text []byte) (*GatewaySettings, error) {
	settings := &GatewaySettings{}
	faults := decoder.Decode(text, settings)
	faults = append(faults, unreported(faults, settings.Check())...)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	settings.setDefaults()
	return settings, nil
}

// Check returns all faults of the settings.
func (g *GatewaySettings) Check() decoder.Faults {
	v := validator{}
	v.require(g.Host != "", "/host", g.Host, "a host name is required")
	v.require(g.DataCentre != "", "/data-centre", g.DataCentre, "a data centre is required")
	v.address("/callers", g.Callers)
	v.address("/health", g.Health)
	v.address("/peers", g.Peers)
	v.address("/datagrams", g.Datagrams)
	v.address("/object-api", g.ObjectAPI)
	v.require(g.Callers != g.Health && g.Callers != g.Peers && g.Health != g.Peers, "/callers", g.Callers, "the caller, health and peer listeners must have different addresses")
	v.require(len(g.Seeds) <= MaxSeeds, "/seeds", len(g.Seeds), "at most %d are allowed", MaxSeeds)
	for i, seed := range g.Seeds {
		v.address("/seeds/"+strconv.Itoa(i), seed)
	}
	v.timeout("/drain/notice", g.Drain.Notice)
	v.timeout("/drain/limit", g.Drain.Limit)
	v.timeout("/news/configuration", g.StalenessBounds.Configuration)
	v.timeout("/news/endpoints", g.StalenessBounds.Endpoints)
	v.require(g.Retries.Ratio >= 0 && g.Retries.Ratio <= 1, "/retries/ratio", g.Retries.Ratio, "must be between 0 and 1")
	v.require(g.Retries.Slack >= 0, "/retries/slack", g.Retries.Slack, "must not be negative")
	v.timeout("/retries/window", g.Retries.Window)
	v.timeout("/command-gap", g.CommandGap)
	v.require(g.MemoryMB >= 0, "/memory-mb", g.MemoryMB, "must not be negative")
	v.require(g.Descriptors >= 0, "/descriptors", g.Descriptors, "must not be negative")
	v.timeout("/revocation-bound", g.RevocationBound)
	if g.PlatformAPI.Address != (netip.AddrPort{}) {
		v.address("/platform-api/address", g.PlatformAPI.Address)
	}
	v.require(g.PlatformAPI.CallsPerSecond >= 0, "/platform-api/calls-per-second", g.PlatformAPI.CallsPerSecond, "must not be negative")
	v.timeout("/metering/window", g.Metering.Window)
	v.timeout("/metering/due", g.Metering.Due)
	_, err := zerolog.ParseLevel(g.LogLevel)
	v.require(err == nil, "/log-level", g.LogLevel, "must be \"debug\", \"info\", \"warn\" or \"error\"")
	return v.faults
}

func (g *GatewaySettings) setDefaults() {
	if g.Drain.Notice == 0 {
		g.Drain.Notice = namer.Duration(DefaultGatewayNotice)
	}
	if g.Drain.Limit == 0 {
		g.Drain.Limit = namer.Duration(DefaultGatewayLimit)
	}
	if g.Retries.Window == 0 {
		g.Retries = RetryBudget{Ratio: DefaultRetryRatio, Slack: DefaultRetrySlack, Window: namer.Duration(DefaultRetryWindow)}
	}
	if g.StalenessBounds.Configuration == 0 {
		g.StalenessBounds.Configuration = namer.Duration(DefaultStalenessBound)
	}
	if g.StalenessBounds.Endpoints == 0 {
		g.StalenessBounds.Endpoints = namer.Duration(DefaultStalenessBound)
	}
	if g.CommandGap == 0 {
		g.CommandGap = namer.Duration(DefaultCommandGap)
	}
	if g.PlatformAPI.CallsPerSecond == 0 {
		g.PlatformAPI.CallsPerSecond = DefaultPlatformAPICalls
	}
	if g.Metering.Window == 0 {
		g.Metering.Window = namer.Duration(DefaultMeteringWindow)
	}
	if g.Metering.Due == 0 {
		g.Metering.Due = namer.Duration(DefaultMeteringDue)
	}
	if g.LogLevel == "" {
		g.LogLevel = "info"
	}
}

package loader

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/decoder"
	"apricotspool/namer"
)

// Gateway holds the settings of a daemon that serves routes: its configuration and its endpoints come
// from the object API.
type Gateway struct {
	// Host names this process' host; it is unique in the fleet.
	Host namer.Host `json:"host"`
	// DataCentre is the data centre that the host stands in.
	DataCentre namer.DataCentre `json:"data-centre"`
	// DataCentres gives the region of every data centre.
	DataCentres map[namer.DataCentre]namer.Region `json:"data-centres,omitzero"`
	// Callers is where callers send requests.
	Callers netip.AddrPort `json:"callers"`
	// Health is where the balancer asks whether the daemon is ready.
	Health netip.AddrPort `json:"health"`
	// Peers is where other daemons connect.
	Peers netip.AddrPort `json:"peers"`
	// Datagrams is the UDP address for short messages between daemons.
	Datagrams netip.AddrPort `json:"datagrams"`
	// Seeds are peer addresses of other daemons to learn the membership from.
	Seeds []netip.AddrPort `json:"seeds,omitzero"`
	// ObjectAPI is the address of the platform's object API.
	ObjectAPI netip.AddrPort `json:"object-api"`
	// Drain bounds a graceful shutdown. Limit is the time from the request to the end of the process.
	Drain Drain `json:"drain,omitzero"`
	// News bounds the time within which changes are known to all daemons.
	News News `json:"news,omitzero"`
	// Retries bounds the repeated attempts of all daemons together.
	Retries Retries `json:"retries,omitzero"`
	// MemoryMB is the memory, in MB, at which the process is ended; 0 means no limit.
	MemoryMB int `json:"memory-mb,omitzero"`
	// Descriptors is the most sockets that the process may open; 0 means no limit.
	Descriptors int `json:"descriptors,omitzero"`
	// LogLevel is the least severe level that is logged. Empty means "info".
	LogLevel string `json:"log-level,omitempty"`
}

// News bounds the age of what a daemon goes by; 0 means DefaultNews.
type News struct {
	Configuration namer.Duration `json:"configuration,omitzero"`
	Endpoints     namer.Duration `json:"endpoints,omitzero"`
}

// Retries bounds repeated attempts: in any window a service gets at most Ratio of its requests plus
// Slack.
type Retries struct {
	Ratio  float64        `json:"ratio,omitzero"`
	Slack  int            `json:"slack,omitzero"`
	Window namer.Duration `json:"window,omitzero"`
}

// Defaults of a gateway's settings.
const (
	DefaultGatewayNotice = 3 * time.Second
	DefaultGatewayLimit  = 8 * time.Second
	DefaultNews          = 2 * time.Second
	DefaultRetryRatio    = 0.1
	DefaultRetrySlack    = 20
	DefaultRetryWindow   = 10 * time.Second
)

// LoadGateway reads and checks a settings file. Faults in it are returned as decoder.Faults.
func LoadGateway(name string) (*Gateway, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseGateway(text)
}

// ParseGateway decodes and checks settings and fills in the defaults.
func ParseGateway(text []byte) (*Gateway, error) {
	settings := &Gateway{}
	faults := decoder.Decode(text, settings)
	faults = append(faults, missing(faults, settings.Check())...)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	settings.setDefaults()
	return settings, nil
}

// Check returns every fault of the settings.
func (g *Gateway) Check() decoder.Faults {
	c := checker{}
	c.require(g.Host != "", "/host", g.Host, "a host name is required")
	c.require(g.DataCentre != "", "/data-centre", g.DataCentre, "a data centre is required")
	c.address("/callers", g.Callers)
	c.address("/health", g.Health)
	c.address("/peers", g.Peers)
	c.address("/datagrams", g.Datagrams)
	c.address("/object-api", g.ObjectAPI)
	c.require(g.Callers != g.Health && g.Callers != g.Peers && g.Health != g.Peers, "/callers", g.Callers, "the listeners differ")
	c.require(len(g.Seeds) <= MaxSeeds, "/seeds", len(g.Seeds), "at most %d are allowed", MaxSeeds)
	for i, seed := range g.Seeds {
		c.address("/seeds/"+strconv.Itoa(i), seed)
	}
	c.timeout("/drain/notice", g.Drain.Notice)
	c.timeout("/drain/limit", g.Drain.Limit)
	c.timeout("/news/configuration", g.News.Configuration)
	c.timeout("/news/endpoints", g.News.Endpoints)
	c.require(g.Retries.Ratio >= 0 && g.Retries.Ratio <= 1, "/retries/ratio", g.Retries.Ratio, "allowed are 0 to 1")
	c.require(g.Retries.Slack >= 0, "/retries/slack", g.Retries.Slack, "must not be negative")
	c.timeout("/retries/window", g.Retries.Window)
	c.require(g.MemoryMB >= 0, "/memory-mb", g.MemoryMB, "must not be negative")
	c.require(g.Descriptors >= 0, "/descriptors", g.Descriptors, "must not be negative")
	_, err := zerolog.ParseLevel(g.LogLevel)
	c.require(err == nil, "/log-level", g.LogLevel, "allowed are \"debug\", \"info\", \"warn\" and \"error\"")
	return c.faults
}

func (g *Gateway) setDefaults() {
	if g.Drain.Notice == 0 {
		g.Drain.Notice = namer.Duration(DefaultGatewayNotice)
	}
	if g.Drain.Limit == 0 {
		g.Drain.Limit = namer.Duration(DefaultGatewayLimit)
	}
	if g.Retries.Window == 0 {
		g.Retries = Retries{Ratio: DefaultRetryRatio, Slack: DefaultRetrySlack, Window: namer.Duration(DefaultRetryWindow)}
	}
	if g.News.Configuration == 0 {
		g.News.Configuration = namer.Duration(DefaultNews)
	}
	if g.News.Endpoints == 0 {
		g.News.Endpoints = namer.Duration(DefaultNews)
	}
	if g.LogLevel == "" {
		g.LogLevel = "info"
	}
}

package gossiper

import (
	"math"
	"time"

	"apricotspool/namer"
)

// Messages are CBOR arrays rather than maps, to save the bytes of field names. For compatibility,
// fields may only be appended to a message.

// Exchange opens a push-pull exchange. It carries the sender's own record and a digest of all records
// the sender knows, so that one call brings both sides up to date.
type Exchange struct {
	_           struct{} `cbor:",toarray"`
	From        Peer
	Config      namer.ConfigVersion // active at the sender
	NoticesHash uint64              // hash of the sender's notices
	Self        Delta               // changes of the sender's own record after SinceVersion; zero between data centres
	// Digest lists pairs of member id and record version. It is empty between data centres.
	Digest         []uint64
	Summary        *Summary     // of the sender's data centre; nil within a data centre
	StaleSummaries []SummaryAge // data centres for which the sender requests a newer summary
	SinceVersion   uint64       // version after which Self has all changes; 0 if Self is the full record
}

// Reply is the response to an Exchange.
type Reply struct {
	_              struct{} `cbor:",toarray"`
	Config         namer.ConfigVersion
	NoticesHash    uint64    // hash of the replying daemon's notices
	Deltas         []Delta   // newer records than the sender's
	Summaries      []Summary // newer than the sender's
	Notices        []Notice  // all, if the hashes differ
	WantFullRecord bool      // the replying daemon doesn't know the sender and needs its full record
}

// Delta holds the changes of a member's record after a version that the receiver has.
type Delta struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Version uint64
	Info    *Info // nil when unchanged
	Loads   []Load
}

// Info describes a member.
type Info struct {
	_           struct{} `cbor:",toarray"`
	Peer        Peer
	Incarnation namer.Incarnation
	Leaving     bool
	Config      namer.ConfigVersion
	VersionLag  uint64 // version of the delta minus the version of this change
}

// Load is an endpoint's load report.
type Load struct {
	_              struct{} `cbor:",toarray"`
	Endpoint       namer.Endpoint
	Age            Age // since the measurement
	Running        int
	Waiting        int
	WaitingPrefill namer.Tokens
	KVUsed         uint8 // fraction, in 255ths
	Role           uint8 // index into roles
	Leaving        bool
	VersionLag     uint64 // version of the delta minus the version of this change
}

// Age is a duration in milliseconds. Messages carry ages rather than timestamps, so that host clocks
// need not be synchronised.
type Age uint32

func ageOf(d time.Duration) Age { return Age(max(0, d.Milliseconds())) }

func (a Age) duration() time.Duration { return time.Duration(a) * time.Millisecond }

// roles maps the one-byte encoding of a role to the role; 0 is a plain service.
var roles = []namer.Role{"", namer.RoleMixed, namer.RolePrefill, namer.RoleDecode}

// SummaryAge is the age of the sender's summary of a data centre.
type SummaryAge struct {
	_          struct{} `cbor:",toarray"`
	DataCentre namer.DataCentre
	Age        Age // ageUnknown if the sender has no summary
}

// ageUnknown stands for a summary that the sender doesn't have; it is older than any other.
const ageUnknown Age = math.MaxUint32

// Summary describes a data centre to the other data centres.
type Summary struct {
	_          struct{} `cbor:",toarray"`
	DataCentre namer.DataCentre
	Age        Age
	Hosts      int // live daemons
	Config     namer.ConfigVersion
	Contacts   []Peer
	Services   []ServiceSummary
}

// ServiceSummary aggregates the endpoints of a service in a data centre.
type ServiceSummary struct {
	_              struct{} `cbor:",toarray"`
	Service        namer.Service
	Endpoints      int
	Leaving        int
	Reported       int // endpoints with a known load
	Running        int
	Waiting        int
	WaitingPrefill namer.Tokens
}

// Source is the origin of a notice.
type Source uint8

// The sources. The configuration, which can also mark an endpoint as draining, sends no notices.
const (
	SourceState    Source = iota // the endpoint or host itself
	SourceHostList               // the platform's host list
	SourceChange                 // a planned change of the endpoint that is in progress
)

// Kind is the kind of a notice's subject.
type Kind uint8

// The kinds of subjects.
const (
	KindEndpoint Kind = iota
	KindHost
)

// Subject identifies a notice. Of two notices on one subject only the newer is kept.
type Subject struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Name   string
	Source Source
}

// Notice states that an endpoint or host is leaving, or withdraws that, according to one source.
type Notice struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	Stamp   uint64 // logical timestamp based on the wall clock in microseconds; the higher is newer
	Leaving bool
	Fencing namer.FencingToken // fencing token of the lease under which a planned change runs; compared before Stamp
}

// Notices is the request of the announce-leaving procedure.
type Notices struct {
	_       struct{} `cbor:",toarray"`
	Notices []Notice
}

// Ack is an empty response.
type Ack struct {
	_ struct{} `cbor:",toarray"`
}

package gossiper

import (
	"math"
	"time"

	"apricotspool/namer"
)

// The messages are CBOR arrays rather than maps, so that field names take no bytes. Fields may only
// be added at the end of a message.

// Exchange opens a push-pull exchange. It carries the sender's own record and the digest of what the
// sender knows, so that one call brings both sides up to date.
type Exchange struct {
	_       struct{} `cbor:",toarray"`
	From    Peer
	Config  namer.ConfigVersion // version in force at the sender
	Notices uint64              // hash over the sender's notices
	Self    Delta               // the sender's own record since Since; zero towards other data centres
	// Digest lists pairs of member id and beat. It is empty towards other data centres.
	Digest  []uint64
	Summary *Summary // of the sender's data centre; nil inside a data centre
	Stale   []Known  // data centres of which the sender wants a newer summary
	Since   uint64   // beat from which Self tells all changes; 0 when it is complete
}

// Reply answers an Exchange.
type Reply struct {
	_         struct{} `cbor:",toarray"`
	Config    namer.ConfigVersion
	Hash      uint64    // over the replying daemon's notices
	Deltas    []Delta   // records that the sender lacks
	Summaries []Summary // newer than the sender's
	Notices   []Notice  // all of them, when the hashes differ
	Lacks     bool      // the receiver does not know the sender; it needs the complete record
}

// Delta is what is new in one member's record since a beat that the receiver has.
type Delta struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Beat  uint64
	Info  *Info // nil when unchanged
	Loads []Load
}

// Info describes a member.
type Info struct {
	_           struct{} `cbor:",toarray"`
	Peer        Peer
	Incarnation namer.Incarnation
	Leaving     bool
	Config      namer.ConfigVersion
	Back        uint64 // beats between this change and the beat of the delta
}

// Load is an endpoint's load report.
type Load struct {
	_              struct{} `cbor:",toarray"`
	Endpoint       namer.Endpoint
	Age            Age // since the figures were taken
	Running        int
	Waiting        int
	WaitingPrefill namer.Tokens
	KVUsed         uint8 // in 255ths
	Role           uint8 // index into roles
	Leaving        bool
	Back           uint64 // beats between this change and the beat of the delta
}

// Age is a time span in milliseconds. Messages carry ages rather than times, so that clocks of hosts need not agree.
type Age uint32

func ageOf(d time.Duration) Age { return Age(max(0, d.Milliseconds())) }

func (a Age) std() time.Duration { return time.Duration(a) * time.Millisecond }

// roles gives each role a number of one byte; 0 is a plain service.
var roles = []namer.Role{"", namer.RoleMixed, namer.RolePrefill, namer.RoleDecode}

// Known says how old the summary of a data centre is that the sender holds.
type Known struct {
	_          struct{} `cbor:",toarray"`
	DataCentre namer.DataCentre
	Age        Age // unknown when the sender has no summary
}

// unknown is the age of a summary that the sender does not have.
const unknown Age = math.MaxUint32

// Summary describes one data centre to the others.
type Summary struct {
	_          struct{} `cbor:",toarray"`
	DataCentre namer.DataCentre
	Age        Age
	Hosts      int // live
	Config     namer.ConfigVersion
	Contacts   []Peer
	Services   []ServiceSummary
}

// ServiceSummary adds up the endpoints of one service in one data centre.
type ServiceSummary struct {
	_              struct{} `cbor:",toarray"`
	Service        namer.Service
	Endpoints      int
	Leaving        int
	Reported       int // endpoints with a load report
	Running        int
	Waiting        int
	WaitingPrefill namer.Tokens
}

// Source says who found that something is leaving.
type Source uint8

// The sources besides the configuration.
const (
	SourceState    Source = iota // the endpoint or host itself
	SourceHostList               // the platform's host list
	SourceChange                 // a planned change of the endpoint that is in progress
)

// Kind says what a notice is about.
type Kind uint8

// The kinds of subjects.
const (
	KindEndpoint Kind = iota
	KindHost
)

// Subject identifies a notice.
type Subject struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Name   string
	Source Source
}

// Notice says that an endpoint or host is leaving, or no longer is, according to one source.
type Notice struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	Stamp   uint64 // the greater one is newer; about microseconds of wall clock
	Leaving bool
	Fencing namer.Fencing // of a planned change: number of the lease that allows it; goes before Stamp
}

// Notices is the message of announce-leaving.
type Notices struct {
	_       struct{} `cbor:",toarray"`
	Notices []Notice
}

// Ack answers a message that needs no answer.
type Ack struct {
	_ struct{} `cbor:",toarray"`
}

package placer

import (
	"apricotspool/historian"
	"apricotspool/namer"
	"apricotspool/pacer"
)

// Messages between cores are encoded as CBOR arrays to omit the field names. New fields must be
// appended.

// Message is a message from one core to another. Exactly one field is set.
type Message struct {
	_               struct{} `cbor:",toarray"`
	ReserveRequest  *ReserveRequest
	ReserveResponse *ReserveResponse
	ProgressUpdate  *ProgressUpdate
	Loads           []Load // of engines whose ledgers the sender owns
	Pause           *Pause
	Quarantine      *Quarantine
	Limit           *LimitNotice
	Charge          *LimitCharge
	Origins         *Origins
	Pace            *PaceNotice
	ProcessEnd      *ProcessEnd
}

// Origins tells or asks which builds began streams of a service.
type Origins struct {
	_       struct{} `cbor:",toarray"`
	Service namer.Service
	Known   []OriginNotice
	// Asked is a stream whose build the sender wants to know, Answered one that was asked for; 0 for none.
	Asked, Answered historian.StreamKey
	Build           namer.Build // of Answered; empty if the sender doesn't know it
	// Retracted are streams whose build turned out to be uncertain.
	Retracted []historian.StreamKey
}

// OriginNotice is what began a stream.
type OriginNotice struct {
	_        struct{} `cbor:",toarray"`
	Stream   historian.StreamKey
	Build    namer.Build
	Endpoint namer.Endpoint // that wrote the first event
	Age      namer.Seconds  // of the first event
	Left     namer.Seconds  // until no caller can take the stream up any more
}

// ReservationID identifies a reservation among those of one host.
type ReservationID uint32

// ReserveRequest requests a reservation from the owner of an engine's ledger.
type ReserveRequest struct {
	_             struct{} `cbor:",toarray"`
	ReservationID ReservationID
	Endpoint      namer.Endpoint
	Work          Work
	// Budget is the time within which the prompt must be processed.
	Budget namer.Seconds
	// PermitOnly asks only for a request within the endpoint's rate limit, as for plain endpoints. Permitted says that
	// the sender has one already.
	PermitOnly, Permitted bool
	Limit                 *LimitNotice // nil if the sender knows of none
}

// Work describes the load that a request puts on an engine.
type Work struct {
	_            struct{} `cbor:",toarray"`
	Tokens       float64  // uncached prompt tokens: those after the prefix
	PrefixTokens float64  // tokens of the prefix, which the engine may have cached
	Prefix       uint64   // ID of the prefix; 0 for none
	// Fetched says that the prefix is fetched from its affinity engine.
	Fetched bool
	Class   int // priority at the engine, less than classes
	// Stream says that the request generates a long output on the engine; Gap is the target for the time
	// between its events.
	Stream bool
	Gap    namer.Seconds
	// Until is the time left until the request's deadline, when the reservation expires.
	Until namer.Seconds
}

// ReserveResponse grants or declines a reservation.
type ReserveResponse struct {
	_             struct{} `cbor:",toarray"`
	ReservationID ReservationID
	Granted       bool
	Load          Load
	// Wait is the time until the endpoint's rate limit permits a request, if that is why none has been granted.
	Wait  namer.Seconds
	Limit *LimitNotice
}

// LimitNotice is what an endpoint has stated about its rate limit.
type LimitNotice struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    namer.Endpoint
	Incarnation namer.Incarnation
	Limited     bool
	Rate        namer.Rate
	// The endpoint has made the statement between these times.
	RequestedAge, ReceivedAge namer.Seconds
}

// LimitCharge tells the owner of a rate limit of a call that could not wait for a permit.
type LimitCharge struct {
	_     struct{} `cbor:",toarray"`
	Limit LimitNotice
}

// Progress is the state of a request at an engine.
type Progress uint8

// Progress of a request.
const (
	Placed    Progress = iota // dispatched without a reservation request
	Prefilled                 // the prompt has been processed
	Ended                     // the request has left the engine
	Awaiting                  // the prompt should have been processed, and hasn't been
)

// ProgressUpdate reports the progress of a request to the owner of a ledger.
type ProgressUpdate struct {
	_             struct{} `cbor:",toarray"`
	ReservationID ReservationID
	Endpoint      namer.Endpoint
	Progress      Progress
	Work          Work // with Placed
	// Answer is how the engine has answered, if its pace depends on it.
	Answer *pacer.Answer
	Life   Life
}

// Pause tells all daemons that an endpoint gets no new work for a time.
type Pause struct {
	_        struct{} `cbor:",toarray"`
	Endpoint namer.Endpoint
	Length   namer.Seconds
	Life     Life
}

// Load is a summary of an engine's ledger.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Endpoint namer.Endpoint
	// QueueDelay is, for each class, the time until its prompts and those of more urgent classes have been
	// processed.
	QueueDelay [classes]shortDelay
	Rate       float64 // prompt tokens per second
	Running    int
	Streams    int
	Urgent     int // most urgent class of the streams
	// NewPrefixes are prefixes that the engine has begun to cache since the last broadcast, and PrefixTTL is
	// how long it keeps them without another use.
	NewPrefixes []uint64
	PrefixTTL   namer.Seconds
	// InProgress is the time until the prompt in progress has been processed.
	InProgress namer.Seconds
	// Generating counts the requests whose prompt has been processed; Inflow is the rate at which prompt
	// tokens are placed, per second.
	Generating int
	Inflow     float64
	Pace       *LoadPace // nil for an engine without a bound
	Life       Life
}

// Life identifies an incarnation of an endpoint among those that daemons may know at a time. It takes a third of the bytes of an
// Incarnation, in messages that are sent for each request or many times a second.
type Life uint16

// LifeOf returns the life of an incarnation; 0 if that is unknown.
func LifeOf(i namer.Incarnation) Life { return Life(i ^ i>>16 ^ i>>32) }

// lives reports whether a message about a life of the endpoint is about the present one. A daemon that sends it may know an
// earlier entry than this one, or a later one.
func (e *endpoint) lives(l Life) bool { return l == LifeOf(e.view.Incarnation) }

// LoadPace is the bound of an engine that has started or recovered.
type LoadPace struct {
	_          struct{} `cbor:",toarray"`
	Window     float64  // requests that it takes without an answer
	Unanswered int      // requests that it has
}

// shortDelay is a delay in units of 100 microseconds, which takes few bytes in a message.
type shortDelay uint32

const shortDelaysPerSecond = 10_000

func shortDelayOf(s namer.Seconds) shortDelay { return shortDelay(max(0, s) * shortDelaysPerSecond) }

func (d shortDelay) seconds() namer.Seconds { return namer.Seconds(d) / shortDelaysPerSecond }

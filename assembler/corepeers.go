package assembler

import (
	"net/netip"
	"time"

	"apricotspool/announcer"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/messenger"
	"apricotspool/meterer"
	"apricotspool/namer"
	"apricotspool/placer"
)

// envelope is the datagram that carries a message from one decision core to another.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	From    namer.Host
	Message placer.Message
}

// usageEnvelope is the datagram that carries counts of requests. Its number of elements tells it from an envelope.
type usageEnvelope struct {
	_           struct{} `cbor:",toarray"`
	From        namer.Host
	Incarnation namer.Incarnation
	Windows     []meterer.WindowCounts
}

// usageEnvelopeHeader is the first byte of a usageEnvelope: an array of three elements.
const usageEnvelopeHeader = 0x83

// corePeers exchanges decision core messages and counts with other daemons over datagrams.
type corePeers struct {
	self      namer.Host
	announcer *announcer.Announcer
	datagrams *messenger.Datagrams
	// receiveUsage takes the counts of another daemon; nil means no metering.
	receiveUsage func(from namer.Host, m meterer.Message)
}

var _ dispatcher.Peers = (*corePeers)(nil)

// Send sends a message to a daemon. It drops the message if the daemon's address is unknown.
func (p *corePeers) Send(to namer.Host, message any) {
	for _, m := range p.announcer.Members() {
		if m.Host == to {
			p.datagrams.Send(m.DatagramAddress, envelope{From: p.self, Message: message.(placer.Message)})
			return
		}
	}
}

// receiver returns the datagram handler that passes messages to the core.
func (p *corePeers) receiver(core *placer.Core, d *dispatcher.Dispatcher, confirmation func() decider.Confirmation) func(netip.AddrPort, []byte) {
	return func(_ netip.AddrPort, data []byte) {
		if len(data) > 0 && data[0] == usageEnvelopeHeader {
			p.takeUsage(data)
			return
		}
		var e envelope
		if err := messenger.Unmarshal(data, &e); err != nil {
			p.datagrams.Log.Warn().Err(err).Msg("datagram-not-valid")
			return
		}
		if err := e.Message.Check(); err != nil {
			p.datagrams.Log.Warn().Err(err).Str("daemon", string(e.From)).Msg("datagram-not-valid")
			return
		}
		d.Act(func(now time.Time) []decider.Action {
			if e.Message.Origins != nil {
				core.Confirm(now, confirmation())
			}
			return core.Receive(now, e.From, e.Message)
		})
	}
}

// SendUsage sends counts to the candidates for the lease of duties.
func (p *corePeers) SendUsage(m meterer.Message) {
	for _, to := range candidates(p.announcer.Members()) {
		if to.Host != p.self {
			p.datagrams.Send(to.DatagramAddress, usageEnvelope{From: p.self, Incarnation: m.Incarnation, Windows: m.Windows})
		}
	}
}

func (p *corePeers) takeUsage(data []byte) {
	var e usageEnvelope
	err := messenger.Unmarshal(data, &e)
	m := meterer.Message{Incarnation: e.Incarnation, Windows: e.Windows}
	if err == nil {
		err = m.Check()
	}
	if err != nil {
		p.datagrams.Log.Warn().Err(err).Str("daemon", string(e.From)).Msg("datagram-not-valid")
		return
	}
	if p.receiveUsage != nil {
		p.receiveUsage(e.From, m)
	}
}

package assembler

import (
	"net/netip"
	"time"

	"apricotspool/announcer"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/placer"
)

// envelope is the datagram that carries a message from one decision core to another.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	From    namer.Host
	Message placer.Message
}

// corePeers exchanges decision core messages with other daemons over datagrams.
type corePeers struct {
	self      namer.Host
	announcer *announcer.Announcer
	datagrams *messenger.Datagrams
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

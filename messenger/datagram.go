package messenger

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// maxDatagram is the size limit of a datagram in bytes. It fits into an Ethernet frame.
const maxDatagram = 1400

// readRetryDelay is the delay after a failed read.
const readRetryDelay = 10 * time.Millisecond

// Datagrams sends and receives short messages between daemons over UDP, without delivery guarantee. Set the
// exported fields before Run.
type Datagrams struct {
	Socket net.PacketConn
	// Receive handles a datagram. The data is only valid during the call.
	Receive func(from netip.AddrPort, data []byte)
	Log     zerolog.Logger

	once sync.Once
	done chan struct{}
}

func (d *Datagrams) init() { d.once.Do(func() { d.done = make(chan struct{}) }) }

// Done returns a channel that is closed when Run has returned.
func (d *Datagrams) Done() <-chan struct{} {
	d.init()
	return d.done
}

// Run receives datagrams until ctx ends.
func (d *Datagrams) Run(ctx context.Context) error {
	d.init()
	defer close(d.done)
	stop := context.AfterFunc(ctx, func() { d.Socket.Close() })
	defer stop()
	buffer := make([]byte, 2*maxDatagram)
	for {
		n, from, err := d.Socket.ReadFrom(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			d.Log.Warn().Err(err).Msg("datagram-not-received")
			select {
			case <-ctx.Done():
			case <-time.After(readRetryDelay):
			}
			continue
		}
		if address, ok := from.(*net.UDPAddr); ok {
			d.Receive(address.AddrPort(), buffer[:n])
		}
	}
}

// Send sends a message. Errors are logged; the datagram is lost.
func (d *Datagrams) Send(to netip.AddrPort, message any) {
	data, err := Marshal(message)
	if err == nil && len(data) > maxDatagram {
		err = errors.Errorf("message of %d bytes exceeds the limit of %d", len(data), maxDatagram)
	}
	if err != nil {
		d.Log.Error().Err(err).Msg("datagram-not-sent")
		return
	}
	if _, err := d.Socket.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
		d.Log.Debug().Err(err).Stringer("to", to).Msg("datagram-not-sent")
	}
}

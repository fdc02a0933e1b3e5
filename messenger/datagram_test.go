package messenger_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/messenger"
	"apricotspool/supervisor"
)

func socket(t *testing.T) (net.PacketConn, netip.AddrPort) {
	t.Helper()
	s, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { s.Close() })
	return s, netip.MustParseAddrPort(s.LocalAddr().String())
}

// Guards against messages that are changed in transit, and against oversized messages, which would be
// truncated.
func TestDatagrams(t *testing.T) {
	is := is.New(t)
	near, _ := socket(t)
	receiverSocket, address := socket(t)
	received := make(chan string, 10)
	receiver := &messenger.Datagrams{Socket: receiverSocket, Receive: func(_ netip.AddrPort, data []byte) {
		var text string
		if err := messenger.Unmarshal(data, &text); err != nil {
			text = "not valid"
		}
		received <- text
	}}
	ctx, stop := context.WithCancel(t.Context())
	go receiver.Run(ctx)
	sender := &messenger.Datagrams{Socket: near}
	sender.Send(address, "first")
	sender.Send(address, strings.Repeat("x", 2000))
	near.WriteTo([]byte{0xff}, net.UDPAddrFromAddrPort(address))
	sender.Send(address, "last")
	is.Equal([]string{<-received, <-received, <-received}, []string{"first", "not valid", "last"})
	stop()
	<-receiver.Done()
}

// failingSocket fails the first reads.
type failingSocket struct {
	net.PacketConn
	failures int
}

func (s *failingSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	if s.failures > 0 {
		s.failures--
		return 0, nil, syscall.ENETDOWN
	}
	return s.PacketConn.ReadFrom(p)
}

// Guards against failed reads that end the process: a second run closes the done channel again.
func TestFailedReadDoesNotEndTheProcess(t *testing.T) {
	near, _ := socket(t)
	receiverSocket, address := socket(t)
	received := make(chan struct{}, 1)
	d := &messenger.Datagrams{
		Socket:  &failingSocket{receiverSocket, 2},
		Receive: func(netip.AddrPort, []byte) { received <- struct{}{} },
	}
	tree := &supervisor.Supervisor{Children: []supervisor.Child{{Name: "datagrams", Part: d}}, MinDelay: time.Millisecond}
	ctx, stop := context.WithCancel(t.Context())
	go tree.Run(ctx)
	(&messenger.Datagrams{Socket: near}).Send(address, "text")
	<-received
	stop()
	<-tree.Done()
	<-d.Done()
}

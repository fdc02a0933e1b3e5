package assembler_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// silentLink forwards connections to an address until it falls silent: it keeps them open and forwards nothing.
type silentLink struct {
	listener net.Listener
	mu       sync.Mutex // held while silent
}

func newSilentLink(t testing.TB, to netip.AddrPort) *silentLink {
	l := &silentLink{listener: listenTCP(t)}
	t.Cleanup(func() { l.listener.Close() })
	go func() {
		for {
			in, err := l.listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to.String())
			if err != nil {
				in.Close()
				continue
			}
			go l.copy(out, in)
			go l.copy(in, out)
		}
	}()
	return l
}

func (l *silentLink) address() netip.AddrPort {
	return netip.MustParseAddrPort(l.listener.Addr().String())
}

func (l *silentLink) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	chunk := make([]byte, 64<<10)
	for {
		n, err := from.Read(chunk)
		if writeErr := l.write(to, chunk[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// write waits until the link isn't silent.
func (l *silentLink) write(to net.Conn, p []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := to.Write(p)
	return err
}

// Guards against a stream that is joined from two software versions at a gateway whose replica of the servers' entries is
// out of date: it can't know the version that has joined since.
func TestTakeUpAtGatewayWithoutStoreIsNotJoined(t *testing.T) {
	const clients = 24
	is := is.New(t)
	s := newVersionedSite(t, "v1", "v1")
	link := newSilentLink(t, s.address)
	var gateways []*gateway
	for i := range 8 {
		settings := s.newSettings(fmt.Sprintf("g-%d", i))
		settings.Retries.Slack = 1000 // for the servers that reject
		if i == 0 {
			settings.DataCentre, settings.ObjectAPI = "b", link.address() // reads the store itself
		}
		gateways = append(gateways, s.startGateway(settings))
	}
	for _, g := range gateways {
		eventually(t, "the gateway is ready", g.ready)
	}
	time.Sleep(settling)
	link.mu.Lock()
	defer link.mu.Unlock()
	for i := range 2 {
		server, err := s.StartVersion(fmt.Sprintf("new-%d", i), "llm", "decode", "v2")
		is.NoErr(err)
		t.Cleanup(server.Crash)
		s.servers = append(s.servers, server)
	}
	time.Sleep(settling)
	for _, server := range s.servers {
		server.SetRejecting(server.Version == "v1")
		server.SetPace(20 * time.Millisecond)
	}
	joined, begun, refused := 0, 0, 0
	for i := range clients {
		taken, err := s.begin(gateways[1+i%7].settings.Callers.String())
		if err != nil {
			continue
		}
		begun++
		for _, server := range s.servers {
			server.SetRejecting(false)
		}
		if s.takeUp(taken, gateways[0].settings.Callers.String(), taken.id) == http.StatusServiceUnavailable {
			refused++
		}
		if len(s.writers(taken.text)) > 1 {
			joined++
		}
		for _, server := range s.servers {
			server.SetRejecting(server.Version == "v1")
		}
	}
	t.Logf("%d streams began, %d take-ups were refused, %d joined", begun, refused, joined)
	is.True(begun >= clients/2)
	is.Equal(joined, 0)
}

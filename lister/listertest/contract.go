// Package listertest provides contract tests for implementations of lister.Lister.
package listertest

import (
	"context"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/lister"
)

// Run tests a lister. The function set replaces the platform's list; a nil list makes calls fail.
func Run(t *testing.T, l lister.Lister, set func([]lister.Host)) {
	hosts := []lister.Host{
		{Name: "daemon-1", DataCentre: "a1", Address: netip.MustParseAddr("10.0.0.1"), State: lister.Live, Peer: netip.MustParseAddrPort("10.0.0.1:7400")},
		{Name: "engine-1", DataCentre: "a2", Address: netip.MustParseAddr("fd00::1"), State: lister.Leaving},
	}
	t.Run("hosts are sorted by name", func(t *testing.T) {
		is := is.New(t)
		set([]lister.Host{hosts[1], hosts[0]})
		read, err := l.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(read, hosts)
	})
	t.Run("an empty list is not an error", func(t *testing.T) {
		is := is.New(t)
		set([]lister.Host{})
		read, err := l.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(len(read), 0)
	})
	t.Run("an unavailable list is an error and not an empty list", func(t *testing.T) {
		set(nil)
		_, err := l.Hosts(t.Context())
		is.New(t).True(errors.Is(err, lister.ErrUnavailable))
	})
	t.Run("a call ends with its context", func(t *testing.T) {
		set(hosts)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := l.Hosts(ctx)
		is.New(t).True(errors.Is(err, lister.ErrUnavailable))
	})
}

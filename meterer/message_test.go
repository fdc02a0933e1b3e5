package meterer_test

import (
	"flag"
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"apricotspool/leaser"
	"apricotspool/messenger"
	"apricotspool/meterer"
	"apricotspool/namer"
	"apricotspool/timekeeper"
)

// The random test uses a fixed seed, which -rapid.seed on the command line overrides.
func init() { flag.Set("rapid.seed", "1") }

// datagram has the form of the daemons' datagram with counts.
type datagram struct {
	_           struct{} `cbor:",toarray"`
	From        namer.Host
	Incarnation namer.Incarnation
	Windows     []meterer.WindowCounts
}

// encode returns the datagram of a message from a host with the longest name.
func encode(m meterer.Message) ([]byte, error) {
	return messenger.Marshal(datagram{From: namer.Host(strings.Repeat("h", namer.MaxNameLength)), Incarnation: m.Incarnation, Windows: m.Windows})
}

// noLease is a Lease that this daemon never holds.
type noLease struct{}

func (noLease) Duties() (leaser.DutyAuthority, bool) { return leaser.DutyAuthority{}, false }

// sentIn runs a meterer for a while and returns what it sends in its last second.
func sentIn(t *testing.T, d time.Duration, count func(m *meterer.Meterer)) (messages []meterer.Message) {
	synctest.Test(t, func(t *testing.T) {
		start, last := time.Now(), time.Now()
		m := &meterer.Meterer{
			Host: "h", Incarnation: 1 << 50, Length: length, Lease: noLease{}, Log: zerolog.Nop(), TimeOfDay: time.Now,
			Steady: func() timekeeper.Instant { return timekeeper.Instant(time.Since(start)) },
			Send: func(m meterer.Message) {
				if !time.Now().Equal(last) {
					messages, last = nil, time.Now()
				}
				messages = append(messages, m)
			},
		}
		cancelled := t.Context()
		go m.Run(cancelled)
		count(m)
		time.Sleep(d)
		synctest.Wait()
	})
	return messages
}

// Guards against datagrams that are too large to send, against counts that no datagram holds, and against a decoder that
// doesn't read them.
func TestMessagesFitIntoDatagrams(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		workspaces := rapid.MapOfN(rapid.StringMatching(`[a-z]{1,63}`), rapid.Uint64Range(1, 3), 0, 200).Draw(r, "workspaces")
		messages := sentIn(t, 1500*time.Millisecond, func(m *meterer.Meterer) {
			for name, n := range workspaces {
				for range n {
					m.Began(namer.Caller(name), time.Now())
				}
			}
		})
		sum := map[string]uint64{}
		for _, m := range messages {
			data, err := encode(m)
			if err != nil || len(data) > 1400 {
				r.Fatalf("%d bytes, %v", len(data), err)
			}
			var read datagram
			if err := messenger.Unmarshal(data, &read); err != nil || data[0] != 0x83 {
				r.Fatalf("%v, first byte %x", err, data[0])
			}
			for _, w := range read.Windows {
				for workspace, n := range w.Counts {
					sum[string(workspace)] += n
				}
			}
		}
		if !maps.Equal(sum, workspaces) {
			r.Fatalf("sent %v of %v", sum, workspaces)
		}
	})
}

// TestBytesOfCounts prints the datagrams and bytes that a candidate receives each second: the figures of docs/CAPACITY.md. It
// guards against a message that grows with anything else than the workspaces whose requests a daemon has counted.
func TestBytesOfCounts(t *testing.T) {
	is := is.New(t)
	for _, row := range []struct{ daemons, active, datagrams, bytes int }{
		{89, 0, 1, 100}, {89, 30, 2, 1200}, {89, 87, 6, 3200}, {420, 30, 2, 1200}, {420, 2700, 140, 100_000},
	} {
		messages := sentIn(t, 500*time.Millisecond, func(m *meterer.Meterer) {
			for n := range 120 {
				if n%10 == 0 {
					for i := range row.active {
						m.Began(namer.Caller(fmt.Sprintf("huka%04d", i)), time.Now())
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		bytes := 0
		for _, m := range messages {
			data, err := encode(m)
			is.NoErr(err)
			bytes += len(data)
		}
		t.Logf("%d daemons, %d workspaces counted at each: %d datagrams and %d bytes of each daemon; %d datagrams and %d kB a second at a candidate",
			row.daemons, row.active, len(messages), bytes, row.daemons*len(messages), row.daemons*bytes/1000)
		is.True(len(messages) <= row.datagrams)
		is.True(bytes <= row.bytes)
	}
}

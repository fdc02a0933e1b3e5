package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/configurer"
	"apricotspool/gossiper"
	"apricotspool/messenger"
	"apricotspool/namer"
)

// epoch is a fixed start time, so that runs are reproducible.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 7400)
}

func peer(i, centres int) gossiper.Peer {
	return gossiper.Peer{Host: namer.Host(fmt.Sprintf("host-%03d", i)), DataCentre: centre(i % centres), Address: address(i)}
}

func centre(i int) namer.DataCentre { return namer.DataCentre(fmt.Sprintf("dc-%02d", i)) }

// snapshot returns a configuration with engines spread evenly over data centres.
func snapshot(t testing.TB, version namer.ConfigVersion, centres, endpoints int) *configurer.Snapshot {
	t.Helper()
	d := &configurer.Document{
		DataCentres: map[namer.DataCentre]configurer.DataCentre{}, Endpoints: map[namer.Endpoint]configurer.Endpoint{},
		Models: map[namer.Model]configurer.Model{"m": {Version: "1", Context: 1000}},
		Services: map[namer.Service]configurer.Service{"chat": {
			Kind: configurer.KindModel, Models: []namer.Model{"m"}, Deadline: namer.Duration(time.Minute),
			Ranks: map[namer.Rank]configurer.Rank{"urgent": {FirstToken: namer.Duration(time.Second), Share: 1}},
		}},
	}
	for i := range centres {
		d.DataCentres[centre(i)] = configurer.DataCentre{Region: "r"}
	}
	for i := range endpoints {
		d.Endpoints[endpoint(i)] = configurer.Endpoint{Service: "chat", DataCentre: centre(i % centres), Models: []namer.Model{"m"}, Address: address(10_000 + i)}
	}
	is.New(t).NoErr(d.Check().Err())
	return configurer.NewSnapshot(version, d)
}

func endpoint(i int) namer.Endpoint { return namer.Endpoint(fmt.Sprintf("engine-%04d", i)) }

// fleet simulates tables in virtual time without goroutines.
type fleet struct {
	t           testing.TB
	now         time.Time
	random      *rand.Rand
	tables      []*gossiper.Table
	paused      map[int]bool
	partitioned func(a, b int) bool // reports whether messages between two tables are lost
	loss        float64
	polling     bool
	// pollEvery is the poll period, in Periods.
	pollEvery       int
	messages        int // in both directions
	bytes           int
	compressedBytes *int // total compressed size; counted if set
}

// stepsPerPeriod is the number of steps of a Period; table i runs at step i % stepsPerPeriod.
const stepsPerPeriod = 20

func newFleet(t testing.TB, n, centres, endpoints int) *fleet {
	f := &fleet{t: t, now: epoch, random: rand.New(rand.NewPCG(1, 1)), paused: map[int]bool{}, partitioned: func(int, int) bool { return false }, pollEvery: int(gossiper.PollPeriod(endpoints/centres).Round(time.Second) / gossiper.Period)}
	for i := range n {
		f.tables = append(f.tables, f.table(i, centres, namer.NewIncarnation(epoch)))
	}
	s := snapshot(t, 1, centres, endpoints)
	for _, table := range f.tables {
		table.Configure(f.now, s)
	}
	return f
}

func (f *fleet) table(i, centres int, incarnation namer.Incarnation) *gossiper.Table {
	return &gossiper.Table{
		Self: peer(i, centres), Incarnation: incarnation,
		Seeds: []netip.AddrPort{address(0), address(1), address(2), address(3)}, Random: rand.New(rand.NewPCG(uint64(i), uint64(incarnation))),
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(gossiper.Period / stepsPerPeriod) {
		step := int(f.now.Sub(epoch) / (gossiper.Period / stepsPerPeriod))
		for i, table := range f.tables {
			if f.paused[i] || i%stepsPerPeriod != step%stepsPerPeriod {
				continue
			}
			table.Tick(f.now)
			if f.polling && (step/stepsPerPeriod)%f.pollEvery == 0 {
				for _, target := range table.PollTargets(f.now) {
					table.AddLoad(f.now, gossiper.Load{Endpoint: target.Endpoint, Running: f.random.IntN(64), Waiting: f.random.IntN(10), WaitingPrefill: namer.Tokens(f.random.IntN(200_000)), KVUsed: uint8(f.random.IntN(256)), Role: 1})
				}
			}
			for _, to := range table.StartRound(f.now) {
				f.exchange(i, to)
			}
		}
	}
}

func (f *fleet) exchange(from int, to gossiper.Target) {
	other := int(to.Address.Addr().As4()[2])<<8 | int(to.Address.Addr().As4()[3])
	if other >= len(f.tables) || f.paused[other] || f.partitioned(from, other) || f.random.Float64() < f.loss {
		f.tables[from].ExchangeFailed(to)
		return
	}
	var message gossiper.Exchange
	f.roundTrip(f.tables[from].OpenExchange(f.now, to), &message)
	sentReply := f.tables[other].HandleExchange(f.now, &message)
	if f.random.Float64() < f.loss {
		f.tables[from].ExchangeFailed(to)
		return
	}
	var reply gossiper.Reply
	f.roundTrip(sentReply, &reply)
	_, missing := f.tables[from].HandleReply(f.now, to, &reply)
	if len(missing) > 0 {
		var notices gossiper.Notices
		f.roundTrip(&gossiper.Notices{Notices: missing}, &notices)
		f.tables[other].MergeNotices(f.now, notices.Notices)
	}
}

func (f *fleet) roundTrip(message, into any) {
	data, err := messenger.Marshal(message)
	if err == nil {
		err = messenger.Unmarshal(data, into)
	}
	if err != nil {
		f.t.Fatalf("message %T: %v", message, err)
	}
	f.messages++
	f.bytes += len(data)
	if f.compressedBytes != nil {
		*f.compressedBytes += compressed(data)
	}
}

// live returns the number of members that table i sees as neither suspected nor leaving.
func (f *fleet) live(i int) int { return len(f.tables[i].View(f.now).Live()) }

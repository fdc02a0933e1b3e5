package provisioner_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/imitator"
	"apricotspool/leaser"
	"apricotspool/namer"
	"apricotspool/provisioner"
)

// orderedFleet is a fleet whose engines are ordered by several daemons.
type orderedFleet struct {
	mu    sync.Mutex
	fleet *fleet
	calls []sentCall
	// delay is how long a call takes.
	delay time.Duration
}

type sentCall struct {
	provisioner.Call
	at time.Time
}

// Engines implements provisioner.Fleet.
func (o *orderedFleet) Engines(context.Context) (map[namer.Service]provisioner.Service, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	service := provisioner.Service{Scaling: o.fleet.scaling}
	for _, e := range o.fleet.engines {
		if !o.fleet.now.Before(e.servesAt) {
			service.Engines = append(service.Engines, e.Engine)
		}
	}
	return map[namer.Service]provisioner.Service{"llm": service}, nil
}

// Order implements provisioner.Orderer.
func (o *orderedFleet) Order(ctx context.Context, c provisioner.Call) (provisioner.Result, error) {
	o.mu.Lock()
	delay := o.delay
	o.mu.Unlock()
	select {
	case <-ctx.Done():
		return provisioner.Failed, ctx.Err()
	case <-time.After(delay):
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls = append(o.calls, sentCall{c, time.Now()})
	o.fleet.carryOut(provisioner.Order{Group: c.Group, Desired: c.Desired})
	return provisioner.Accepted, nil
}

func (o *orderedFleet) sent() []sentCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]sentCall(nil), o.calls...)
}

// run lets time pass at the platform.
func (o *orderedFleet) run(length time.Duration) {
	for range length / planPeriod {
		time.Sleep(planPeriod)
		o.mu.Lock()
		o.fleet.now = time.Now()
		o.fleet.advance()
		o.mu.Unlock()
	}
}

// Guards against orders of two daemons that mix: with equal fencing tokens, with falling ones, or by one that has no lease,
// when the holder is killed, paused or cut off from the store; and against a plan that doesn't go on then.
func TestOneDaemonOrders(t *testing.T) {
	for name, hinder := range map[string]func(*imitator.Node){
		"killed":  func(n *imitator.Node) { n.Kill() },
		"paused":  func(n *imitator.Node) { n.Pause(40 * time.Second) },
		"cut off": func(n *imitator.Node) { n.SetFailureMode(imitator.Partition, time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(time.Minute)
				}()
				o := &orderedFleet{fleet: newFleet(15, threeDataCentres()), delay: 20 * time.Millisecond}
				o.fleet.now, o.fleet.begun = time.Now(), time.Now()
				store := &imitator.Store{}
				nodes := map[namer.Host]*imitator.Node{}
				for _, host := range []namer.Host{"a", "b", "c"} {
					nodes[host] = &imitator.Node{Store: store}
					lease := &leaser.Leaser{Store: nodes[host], Name: leaser.Duties, Process: namer.Process{
						Host: host, Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1,
					}}
					p := &provisioner.Provisioner{Host: host, Authority: lease, Fleet: o, Orderer: o, CallsPerSecond: 50}
					go lease.Run(ctx)
					go p.Run(ctx)
				}
				o.run(lead)
				begin := o.fleet.at()
				o.fleet.work = func(at time.Duration) float64 { return wave(8)(at - begin) }
				o.run(planPeriod * 4)
				is.True(len(o.sent()) > 0)
				is.Equal(o.fleet.count(provisioner.OnDemand), 45)
				hinder(nodes[o.sent()[0].Holder])
				o.run(2 * time.Minute)
				sent := o.sent()
				holders := map[namer.Host]bool{}
				for i, c := range sent {
					holders[c.Holder] = true
					if i > 0 && sent[i-1].Holder != c.Holder {
						is.True(c.Fencing > sent[i-1].Fencing)
					}
				}
				is.Equal(len(holders), 2)
				is.Equal(o.fleet.count(provisioner.OnDemand), 0)
				is.True(o.fleet.lowest > 2)
				is.True(o.fleet.overMax == 0)
			})
		})
	}
}

// Guards against calls in a steady state, and against more calls than the platform accepts while it is so slow that no call
// ends in time.
func TestCallsAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		o := &orderedFleet{fleet: newFleet(15, threeDataCentres()), delay: time.Minute}
		o.fleet.now, o.fleet.begun = time.Now(), time.Now()
		lease := &leaser.Leaser{Store: &imitator.Store{}, Name: leaser.Duties, Process: namer.Process{Host: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}}
		results := 0
		p := &provisioner.Provisioner{
			Host: "a", Authority: lease, Fleet: o, Orderer: o, CallsPerSecond: 50,
			OnOrder: func(provisioner.Result) {
				o.mu.Lock()
				defer o.mu.Unlock()
				results++
			},
		}
		go lease.Run(ctx)
		go p.Run(ctx)
		o.fleet.work = wave(8)
		o.run(30 * time.Second)
		is.True(results > 0)
		is.True(results < 60)
		is.Equal(o.fleet.count(provisioner.OnDemand), 45)
		o.mu.Lock()
		o.delay = 500 * time.Millisecond // 50 times as slow
		o.fleet.work = func(time.Duration) float64 { return 8 }
		o.mu.Unlock()
		o.run(3 * time.Minute)
		is.Equal(o.fleet.count(provisioner.OnDemand), 0)
		before := len(o.sent())
		o.run(time.Minute)
		is.Equal(len(o.sent()), before)
	})
}

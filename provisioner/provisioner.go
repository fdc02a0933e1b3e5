package provisioner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"apricotspool/leaser"
	"apricotspool/matcher"
	"apricotspool/namer"
)

const (
	// period is the interval between two plans. Bursts reach their peak within seconds.
	period = 250 * time.Millisecond
	// callTimeout bounds one order. The platform may be 50 times as slow as usual.
	callTimeout = time.Second
	// maxCalls is the number of orders at a time.
	maxCalls = 6
	// callShare is the part of the accepted calls that orders may use. The rest is for metering.
	callShare = 0.4
)

// Call is an order as it is sent.
type Call struct {
	Service namer.Service
	Group   Group
	Desired int
	Holder  namer.Host
	Fencing namer.FencingToken
}

// Orderer sends orders to the platform.
type Orderer interface {
	// Order sends an order once. An order that fails may have been carried out.
	Order(ctx context.Context, call Call) (Result, error)
}

// Fleet is the view of the engines that this daemon has.
type Fleet interface {
	// Engines returns the engines of the services whose engines can be ordered.
	Engines(ctx context.Context) (map[namer.Service]Service, error)
}

// Service is a service whose engines can be ordered.
type Service struct {
	Scaling matcher.Scaling
	Engines []Engine
}

// Authority grants the right to send orders. It is implemented by leaser.Leaser.
type Authority interface {
	Duties() (leaser.DutyAuthority, bool)
}

// Provisioner plans the engines of all services and orders them. Set the exported fields before Run.
type Provisioner struct {
	Host      namer.Host
	Authority Authority
	Fleet     Fleet
	Orderer   Orderer
	// Eligible reports whether this daemon may come to hold the lease, so that it has to know the load; nil means always.
	Eligible func() bool
	// CallsPerSecond is the number of calls that the platform accepts from all daemons.
	CallsPerSecond float64
	// OnOrder, if set, is called with the result of each order.
	OnOrder func(Result)
	Log     zerolog.Logger

	once   sync.Once
	done   chan struct{}
	counts atomic.Pointer[map[namer.Service]map[Group]Count]

	planners map[namer.Service]*Planner
	limiter  *rate.Limiter
	token    namer.FencingToken // of the lease that is held
}

func (p *Provisioner) init() { p.once.Do(func() { p.done = make(chan struct{}) }) }

// Done is closed when Run has returned.
func (p *Provisioner) Done() <-chan struct{} {
	p.init()
	return p.done
}

// Counts returns the state of each group while this daemon holds the lease, for gauges.
func (p *Provisioner) Counts() map[namer.Service]map[Group]Count {
	if counts := p.counts.Load(); counts != nil {
		return *counts
	}
	return nil
}

// Run plans until ctx ends.
func (p *Provisioner) Run(ctx context.Context) error {
	p.init()
	defer close(p.done)
	p.planners = map[namer.Service]*Planner{}
	p.limiter = rate.NewLimiter(rate.Limit(callShare*p.CallsPerSecond), max(1, int(callShare*p.CallsPerSecond/2)))
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			p.step(ctx)
		}
	}
}

func (p *Provisioner) step(ctx context.Context) {
	authority, held := p.Authority.Duties()
	if !held {
		p.counts.Store(nil)
		if p.Eligible != nil && !p.Eligible() {
			clear(p.planners)
			return
		}
	}
	services, err := p.Fleet.Engines(ctx)
	if err != nil {
		p.Log.Debug().Err(err).Msg("engines-unknown")
		return
	}
	if token := authority.Fencing(); held && token != p.token {
		p.token = token
		for _, planner := range p.planners {
			planner.Reset()
		}
	}
	counts := map[namer.Service]map[Group]Count{}
	for name, service := range services {
		if p.planners[name] == nil {
			p.planners[name] = &Planner{}
		}
		planner := p.planners[name]
		planner.Observe(time.Now(), service.Scaling, service.Engines)
		if held {
			p.send(ctx, authority, name, service.Scaling, planner)
			counts[name] = planner.Counts()
		}
	}
	for name := range p.planners {
		if _, known := services[name]; !known {
			delete(p.planners, name)
		}
	}
	if held {
		p.counts.Store(&counts)
	}
}

// send sends the orders that are due for a service and tells the planner how they ended.
func (p *Provisioner) send(ctx context.Context, authority leaser.DutyAuthority, service namer.Service, s matcher.Scaling, planner *Planner) {
	var orders []Order
	for _, order := range planner.Plan(time.Now(), s) {
		if p.limiter.Allow() {
			orders = append(orders, order) // the others are planned again
		}
	}
	results := make([]Result, len(orders))
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for i, order := range orders {
		calls.Go(func() error {
			results[i] = p.order(ctx, authority, service, order)
			return nil
		})
	}
	calls.Wait()
	now := time.Now()
	for i, order := range orders {
		planner.Record(now, s, order, results[i])
	}
}

func (p *Provisioner) order(ctx context.Context, authority leaser.DutyAuthority, service namer.Service, o Order) Result {
	bounded, end, err := authority.Begin(ctx)
	if err != nil {
		p.Log.Warn().Err(err).Msg("order-not-sent")
		return Failed
	}
	defer end()
	bounded, cancel := context.WithTimeout(bounded, callTimeout)
	defer cancel()
	result, err := p.Orderer.Order(bounded, Call{Service: service, Group: o.Group, Desired: o.Desired, Holder: p.Host, Fencing: authority.Fencing()})
	p.Log.Info().Err(err).Str("service", string(service)).Str("data-centre", string(o.DataCentre)).Stringer("kind", o.Kind).
		Int("desired", o.Desired).Int("before", o.Before).Str("reason", string(o.Reason)).Stringer("result", result).
		Uint64("fencing", uint64(authority.Fencing())).Float64("work", o.Basis.Work).
		Int("engines", o.Basis.Engines).Int("after-loss", o.Basis.AfterLoss).Msg("engines-ordered")
	if p.OnOrder != nil {
		p.OnOrder(result)
	}
	return result
}

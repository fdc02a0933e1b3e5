// Package assembler builds one daemon from its settings: it binds the listeners, connects the
// components, runs them under a supervisor and shuts them down in order. It owns the life cycle only;
// all state belongs to the components.
package assembler

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/inspector"
	"apricotspool/loader"
	"apricotspool/recorder"
	"apricotspool/supervisor"
)

// componentStopTimeout bounds how long the components may take to stop after the last request has
// finished. It includes the release of leases and endpoint bindings in the object API.
const componentStopTimeout = 15 * time.Second

// Daemon is one entry daemon. Set the exported fields before Run.
type Daemon struct {
	Settings *loader.Settings
	Log      zerolog.Logger
	Version  string // program version, shown in the status
	// OpenStore connects to the object API.
	OpenStore OpenStore

	initOnce  sync.Once
	done      chan struct{}
	drain     chan struct{} // closed by Drain
	drainOnce sync.Once     // ensures that drain is closed once
}

func (d *Daemon) init() {
	d.initOnce.Do(func() {
		d.done = make(chan struct{})
		d.drain = make(chan struct{})
	})
}

// Done closes when Run has returned.
func (d *Daemon) Done() <-chan struct{} {
	d.init()
	return d.done
}

// Drain starts a graceful shutdown, like cancelling Run's context.
func (d *Daemon) Drain() {
	d.init()
	d.drainOnce.Do(func() { close(d.drain) })
}

// Run serves until ctx ends or Drain is called, then shuts down gracefully. It returns nil if every
// accepted request finished before the drain limit.
func (d *Daemon) Run(ctx context.Context) error {
	d.init()
	defer close(d.done)
	metrics := recorder.NewMetrics()
	limitCollector(d.Settings.Limits.MemoryMB)
	memory := newBudget(d.Settings.Limits.MemoryMB, d.Settings.Limits.Descriptors, metrics)
	memory.HeadBytes = func() int { return d.Settings.Limits.HeaderBytes }
	l, err := listen(d.Settings, memory)
	if err != nil {
		return err
	}
	components, err := d.build(l, metrics)
	if err != nil {
		l.close()
		return err
	}
	components.children = append(components.children, supervisor.Child{Name: "memory", Part: memory})
	return d.serve(ctx, l, components)
}

// serve runs the listeners and components until the daemon drains.
func (d *Daemon) serve(ctx context.Context, l *listeners, c *components) error {
	// The components outlive ctx because they are needed until the last request has finished.
	componentCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	components := &supervisor.Supervisor{Log: d.Log, Children: c.children}
	go components.Run(componentCtx)
	callers := newHTTPServer(c.callers, d.Settings.Limits, false)
	callers.ConnState = inspector.ConnState
	operators := newHTTPServer(c.operators, d.Settings.Limits, false)
	peers := newHTTPServer(c.peers, d.Settings.Limits, true)
	failed := make(chan error, 3)
	start := func(s *http.Server, name string, serve func() error) {
		go func() {
			if err := serve(); !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrapf(err, "%s listener", name)
			}
		}()
	}
	start(peers, "peers'", func() error { return peers.Serve(l.peers) })
	start(operators, "operators'", func() error { return operators.Serve(l.operators) })
	start(callers, "callers'", func() error { return callers.Serve(l.callers) })
	d.Log.Info().Str("host", string(d.Settings.Host)).Stringer("callers", d.Settings.Callers.Address).
		Stringer("operators", d.Settings.Operators.Address).Stringer("peers", d.Settings.Peers.Address).Msg("daemon-started")
	var listenerErr error
	select {
	case <-ctx.Done():
	case <-d.drain:
	case listenerErr = <-failed:
	}
	drainErr := d.shutDown(c, callers)
	stopComponents()
	waitFor(components.Done(), componentStopTimeout)
	operators.Close()
	// The peer address is released last: a process that binds it proves that this one has ended.
	peers.Close()
	if listenerErr != nil {
		return listenerErr
	}
	return drainErr
}

// shutDown reports the daemon as not ready, waits until the load balancer has noticed and finishes all
// accepted requests.
func (d *Daemon) shutDown(c *components, callers *http.Server) error {
	d.Log.Info().Int("requests", c.server.InFlight()).Dur("notice", d.Settings.Drain.Notice.Std()).Msg("drain-started")
	c.server.SetDraining()
	c.announceLeaving()
	time.Sleep(d.Settings.Drain.Notice.Std())
	drainCtx, cancel := context.WithTimeout(context.Background(), d.Settings.Drain.Limit.Std())
	defer cancel()
	if err := callers.Shutdown(drainCtx); err != nil {
		d.Log.Error().Int("requests", c.server.InFlight()).Msg("drain-limit-passed")
		callers.Close()
		return errors.Wrapf(err, "drain limit exceeded: %d requests aborted", c.server.InFlight())
	}
	if err := c.server.Wait(drainCtx); err != nil {
		return errors.Wrap(err, "drain")
	}
	d.Log.Info().Msg("drain-finished")
	return nil
}

func waitFor(done <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

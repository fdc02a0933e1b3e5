package assembler

import (
	"cmp"
	"crypto/rand"

	"apricotspool/activator"
	"apricotspool/attester"
	"apricotspool/authenticator"
	"apricotspool/follower"
	"apricotspool/timekeeper"
)

// connectKeys builds the component that holds the configuration in force with its API keys.
func (g *Gateway) connectKeys() {
	g.activator = &activator.Activator{
		Source: g.config, Key: g.Platform.ConfigKey, Decode: g.Platform.DecodeConfig, Clock: timekeeper.Now, Log: g.Log.Events,
		Attested: func(eras attester.Record) bool { return g.archivist.Attested(eras) },
		Bounds: authenticator.Bounds{
			Revocation: g.Settings.RevocationBound.Std(),
			Staleness:  cmp.Or(g.Settings.StalenessBounds.Configuration.Std(), follower.DefaultStalenessBound),
		},
	}
	rand.Read(g.activator.Secret[:]) // never fails
	g.metrics.Gauge("apricotspool_workspaces", func() float64 {
		if view := g.activator.View(); view.Enabled() {
			return float64(view.Directory.Workspaces())
		}
		return 0
	})
	g.metrics.Gauge("apricotspool_keys_current", func() float64 {
		if g.activator.View().Current() {
			return 1
		}
		return 0
	})
}

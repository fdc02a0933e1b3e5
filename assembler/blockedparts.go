package assembler

import (
	"context"
	"time"

	"apricotspool/decider"
	"apricotspool/placer"
)

// keptPartsPeriod is the period at which the blocked prompt parts are compared with the daemon's entry.
const keptPartsPeriod = time.Second

// keptParts writes the prompt parts that the decision core keeps into the daemon's entry.
type keptParts struct {
	core  *placer.Core
	fleet *gatewayFleet
}

// Run compares them until ctx ends.
func (k *keptParts) Run(ctx context.Context) error {
	tick := time.NewTicker(keptPartsPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if !k.fleet.ownEntryRead.Load() {
			continue
		}
		var parts []decider.BlockedPart
		if err := k.fleet.dispatcher.Query(ctx, func(now time.Time) { parts = k.core.KeptParts(now) }); err != nil {
			return err
		}
		k.fleet.announcer.SetBlockedParts(parts)
	}
}

package leaser

import (
	"context"
	"time"
)

// Times of the lease of duties. A holder that dies is replaced after about 5 s: candidates see its last renewal up to
// DutyPollInterval late, wait for DutyDuration and DutyMargin, and read again. The holder makes 1.3 writes a second and
// each other candidate one read.
const (
	DutyDuration      = 3 * time.Second
	DutyMargin        = 500 * time.Millisecond
	DutyRenewInterval = 750 * time.Millisecond
	DutyRetryInterval = 250 * time.Millisecond
	DutyPollInterval  = 1300 * time.Millisecond
	// DutyCallTimeout leaves time for a second renewal after one that got no response.
	DutyCallTimeout = 750 * time.Millisecond
)

// SetDutyTimes sets the times of the lease of duties, with the shortest time between calls of different holders.
func (l *Leaser) SetDutyTimes(gap time.Duration) {
	l.Duration, l.Margin, l.HandoverGap = max(DutyDuration, gap), DutyMargin, gap
	l.RenewInterval, l.RetryInterval, l.PollInterval = DutyRenewInterval, DutyRetryInterval, DutyPollInterval
	l.CallTimeout, l.ReleaseIneligible = DutyCallTimeout, true
}

// authorityCheckInterval is the time between checks during a call. Timers may stand still while the host is suspended.
const authorityCheckInterval = 100 * time.Millisecond

// DutyAuthority allows calls to the platform that one daemon makes at a time.
type DutyAuthority struct {
	Authority
}

// Begin checks the authority and returns a context that ends before the lease expires by either clock. A graceful
// release of the lease waits until end is called.
func (a DutyAuthority) Begin(ctx context.Context) (bounded context.Context, end func(), err error) {
	bounded, endUse, err := a.Authority.Begin(ctx)
	if err != nil {
		return nil, nil, err
	}
	bounded, cancel := context.WithCancelCause(bounded)
	go func() {
		ticker := time.NewTicker(authorityCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-bounded.Done():
				return
			case <-ticker.C:
				if err := a.expired(); err != nil {
					cancel(err)
				}
			}
		}
	}()
	return bounded, func() {
		cancel(nil)
		endUse()
	}, nil
}

// expired returns ErrNoAuthority if the lease may have expired. A use that has begun goes on while the lease is released.
func (a DutyAuthority) expired() error {
	if a.grant.left() > 0 {
		return nil
	}
	return ErrNoAuthority
}

// Record tells the lease whether a call under it got any response. After several consecutive calls without one, while the
// store answers, the holder gives up the lease to another candidate that may reach the platform.
func (a DutyAuthority) Record(reached bool) {
	if a.grant != nil {
		a.grant.record(reached)
	}
}

// GiveUp makes the holder release the lease to another candidate because it can't do its work.
func (a DutyAuthority) GiveUp() {
	if a.grant != nil {
		a.grant.unfit.Store(true)
	}
}

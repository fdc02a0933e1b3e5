package throttler_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"apricotspool/namer"
	"apricotspool/throttler"
)

// mostIn returns the largest number of the times that fall into a window.
func mostIn(times []namer.Seconds, window namer.Seconds) int {
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

var rates = []namer.Rate{0, 0.05, 0.3, 1, 4.9, 11.2, 250}

// Guards against grants beyond the rate, and against a bucket that grants much less.
func TestBucketGrantsRate(t *testing.T) {
	for _, rate := range rates {
		is := is.New(t)
		var b throttler.Bucket
		var granted []namer.Seconds
		s := stated(rate, 0, 0)
		for now := namer.Seconds(0); now < 60; now += 0.0005 {
			if b.Take(now, s, throttler.Urgent) == 0 {
				granted = append(granted, now)
			}
		}
		lowest := max(float64(rate), 0.1)
		is.True(float64(mostIn(granted, 4)) <= 4*lowest+0.25*lowest+2) // the rate, the burst and both ends of the window
		is.True(float64(len(granted)) >= 0.98*60*lowest-1)
	}
}

// Guards against requests that could not wait and aren't counted, and against a debt without end.
func TestChargesUseTheRate(t *testing.T) {
	is := is.New(t)
	var b throttler.Bucket
	s := stated(5, 0, 0)
	b.Charge(0, s)
	b.Charge(0, s)
	is.True(b.Take(0.59, s, throttler.Urgent) > 0)
	is.Equal(b.Take(0.61, s, throttler.Urgent), namer.Seconds(0)) // three requests at 5 a second
	for range 1000 {
		b.Charge(1, s)
	}
	is.Equal(b.Take(3.5, s, throttler.Urgent), namer.Seconds(0))
}

// Guards against less urgent requests that take what the urgent ones need, and against those that get nothing where
// the urgent ones leave something.
func TestUrgentRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	for _, rate := range []namer.Rate{0.3, 1, 8, 100} {
		var b throttler.Bucket
		s := stated(rate, 0, 0)
		for now := namer.Seconds(0); now < 100; now += 0.01 {
			b.Take(now, s, throttler.Ordinary)
		}
		b.Take(100, s, throttler.Ordinary)
		is.True(b.Wait(100, s, throttler.Ordinary) > 0)
		is.True(b.Wait(100, s, throttler.Urgent) < b.Wait(100, s, throttler.Ordinary))
		is.Equal(b.Take(100+namer.Seconds(1/rate), s, throttler.Ordinary), namer.Seconds(0))
	}
}

// Guards against daemons that exceed the limit together while the owner doesn't respond to any of them, however many
// they are, and after a time in which none of them had a request.
func TestSharesStayWithinLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, daemons := range []int{1, 9, 91, 420} {
		for _, rate := range rates {
			is := is.New(t)
			shares := make([]throttler.Share, daemons)
			epochs := make([]namer.Seconds, daemons) // the daemons' clocks have started at other times
			for i := range shares {
				shares[i].Phase, epochs[i] = random.Float64(), namer.Seconds(1000*random.Float64())
			}
			s := stated(rate, 0, 0)
			var sent []namer.Seconds
			for now := namer.Seconds(0); now < 60; now += 0.002 {
				if now > 20 && now < 40 {
					continue
				}
				for i := range shares {
					if shares[i].Take(now+epochs[i], s, daemons) == 0 {
						sent = append(sent, now)
					}
				}
			}
			lowest := max(float64(rate), 0.1)
			is.True(float64(mostIn(sent, 4)) <= 1.5*4*lowest+5)
			is.True(float64(len(sent)) >= 0.8*40*0.5*lowest-5)
		}
	}
}

// Guards against shares that are used twice because the limit, and so their period, changes all the time.
func TestShareOfChangingLimit(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	h := throttler.Share{Phase: 0.4}
	var sent []namer.Seconds
	for now := namer.Seconds(5000); now < 5200; now += 0.01 {
		if h.Take(now, stated(5+namer.Rate(random.Float64()), 0, 0), 9) == 0 {
			sent = append(sent, now)
		}
	}
	is.True(len(sent) <= 200) // two periods are four seconds
}

// Guards against daemons that are told to wait for the same turn, and against a turn that nobody may use.
func TestWaitingDaemonsTakeTurns(t *testing.T) {
	is := is.New(t)
	var b throttler.Bucket
	s := stated(4, 0, 0)
	b.Take(0, s, throttler.Urgent)
	first, second := b.Take(1, s, throttler.Urgent), b.Take(1, s, throttler.Urgent)
	is.Equal(first, namer.Seconds(0))
	is.Equal(second, namer.Seconds(0)) // one and a quarter of a second's
	waits := []namer.Seconds{b.Take(1, s, throttler.Urgent), b.Take(1, s, throttler.Urgent), b.Take(1, s, throttler.Urgent)}
	is.Equal(waits, []namer.Seconds{0.25, 0.5, 0.75})
	for _, wait := range waits {
		is.Equal(b.Take(1+wait, s, throttler.Urgent), namer.Seconds(0))
	}
	for range 100 {
		b.Take(2, s, throttler.Urgent)
	}
	is.Equal(b.Take(2, s, throttler.Urgent), namer.Seconds(2)) // the limit may have changed by then
}

// Guards against a wait that is no time at which a share can be used.
func TestShareWaitsEnd(t *testing.T) {
	is := is.New(t)
	s := stated(0.3, 0, 0)
	h := throttler.Share{Phase: 0.3}
	sent := 0
	for now := namer.Seconds(0); now < 600; {
		wait := h.Take(now, s, 9)
		if wait == 0 {
			sent++
			wait = 0.001
		}
		is.True(wait > 0 && wait <= 2)
		now += wait
	}
	is.Equal(sent, 10) // one in 60 s
}

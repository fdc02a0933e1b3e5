package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// Guards against streams that begin or go on at an endpoint whose process has ended, as long as its entry may be that of the
// process before: another one with another build may be there (review/9). Other daemons must know too, other requests go on, and
// the endpoint must be used again when its entry turns out to be current.
func TestNoStreamAtReplacedProcess(t *testing.T) {
	is := is.New(t)
	d := newOriginDaemons(t, "h-1", "h-2")
	const ended = 20 * time.Second
	d.send(ended, "h-1", 99, false)
	replaced, failed := d.sentTo.Name, d.sent
	d.perform(ended, "h-1", d.cores["h-1"].Observe(epoch.Add(ended), decider.Event{
		Kind: decider.EventFailed, Request: failed.Request, Attempt: failed.Attempt, Endpoint: replaced, Reason: classifier.RetryStreamBroken, Ended: true,
	}))
	is.True(d.sentTo.Name != replaced) // the request goes on elsewhere

	for i := range d.view.Endpoints { // no other one takes new requests
		d.view.Endpoints[i].Leaving = d.view.Endpoints[i].Name != replaced
	}
	d.age = 4500 * time.Millisecond // the object API is out
	d.configure(ended + 4*time.Second)
	for _, host := range []namer.Host{"h-1", "h-2"} {
		d.send(ended+4*time.Second, host, 100, false)
		is.True(d.refused != "")
		d.send(ended+4*time.Second, host, 0, false)
		is.Equal(d.sentTo.Name, replaced)
	}
	d.age = 0
	d.confirm(ended + 5*time.Second)
	for _, host := range []namer.Host{"h-1", "h-2"} {
		d.send(ended+5*time.Second, host, 101, false)
		is.Equal(d.sentTo.Name, replaced)
	}
}

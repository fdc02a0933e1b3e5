package placer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/historian"
	"apricotspool/namer"
)

// addBuild adds an engine of build v2, which the object API lists.
func (d *originDaemons) addBuild() {
	d.view.Services[0].Builds = []namer.Build{"v1", "v2"}
	d.view.Endpoints = append(d.view.Endpoints, decider.EndpointView{Name: "c", Service: service, Role: namer.RoleDecode, Concurrency: 64, Build: "v2"})
}

// Guards against a stream that begins at a build before all daemons know it, also if no other engine can take it; and against
// a caller that is told to come back before that.
func TestStreamWaitsForItsBuild(t *testing.T) {
	is := is.New(t)
	d := newOriginDaemons(t, "h-1")
	d.addBuild()
	d.view.Endpoints[0].Leaving, d.view.Endpoints[1].Leaving = true, true
	d.configure(20 * time.Second)
	d.send(20100*time.Millisecond, "h-1", 7, false)
	is.Equal(d.refused, classifier.NoEndpoint)
	is.True(d.retry >= 500*time.Millisecond && d.retry <= 900*time.Millisecond) // 0.7 s are left; spread by a quarter
	d.send(20850*time.Millisecond, "h-1", 8, false)
	is.Equal(d.sentTo.Build, namer.Build("v2"))
}

// Guards against a daemon that starts while several builds are listed and lets streams begin at once: one of the builds may
// have come just before, so that others don't know it.
func TestDaemonThatStartsWaitsForItsBuilds(t *testing.T) {
	for name, several := range map[string]bool{"one build": false, "several builds": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newOriginDaemons(t)
			if several {
				d.addBuild()
			}
			d.start("h-1", 30*time.Second)
			d.send(30100*time.Millisecond, "h-1", 7, false)
			is.Equal(d.refused != "", several)
			d.send(30900*time.Millisecond, "h-1", 8, false)
			is.Equal(d.refused, classifier.Outcome(""))
		})
	}
}

// Guards against a daemon that continues a stream at the only build that it knows while it can't know of another one; and
// against refusing a stream that another daemon knows.
func TestStaleDaemonAsksForOrigin(t *testing.T) {
	is := is.New(t)
	d := newOriginDaemons(t, "h-1", "h-2", "h-3")
	d.send(20*time.Second, "h-1", 7, false)
	d.age = 800 * time.Millisecond
	d.confirm(21 * time.Second)
	d.send(21*time.Second, "h-2", 7, true) // known to h-1, which began it
	is.Equal(d.sentTo.Build, namer.Build("v1"))
	d.send(21*time.Second, "h-2", 8, true)
	is.Equal(d.refused, classifier.StreamUnknown)
	d.age = 0
	d.confirm(22 * time.Second)
	d.send(22*time.Second, "h-2", 8, true)
	is.Equal(d.sentTo.Build, namer.Build("v1"))
}

// Guards against streams of one build that are lost with their daemon in an outage of the object API: while nobody can know
// that there is no other build, the other daemons must know the streams.
func TestStreamsAreToldInOutage(t *testing.T) {
	is := is.New(t)
	d := newOriginDaemons(t, "h-1", "h-2", "h-3")
	d.tick(19 * time.Second)
	d.send(20*time.Second, "h-1", 7, false)
	d.age = 800 * time.Millisecond
	d.confirm(21 * time.Second)
	d.tick(21 * time.Second)
	d.send(22*time.Second, "h-1", 8, false)
	delete(d.cores, "h-1")
	for _, key := range []historian.StreamKey{7, 8} {
		d.send(23*time.Second, "h-2", key, true)
		is.Equal(d.refused, classifier.Outcome(""))
		is.Equal(d.sentTo.Build, namer.Build("v1"))
	}
}

// Guards against a stream of another build that goes on at the only one in service before a restored object API lists all builds
// again (review/8), and against a caller that is told to come back before that is known.
func TestUnknownStreamWaitsForRestoredStore(t *testing.T) {
	is := is.New(t)
	d := newOriginDaemons(t, "h-1")
	d.settles = 24 * time.Second
	for _, at := range []time.Duration{20 * time.Second, 23 * time.Second} {
		d.send(at, "h-1", 7, true)
		is.Equal(d.refused, classifier.StreamUnknown)
		left := d.settles - at
		is.True(d.retry >= left*3/4 && d.retry <= left*5/4) // spread by a quarter
	}
	d.send(25*time.Second, "h-1", 7, true)
	is.Equal(d.sentTo.Build, namer.Build("v1"))
}

// Guards against a stream that is joined from two builds because the daemon that began it had an old entry of its engine: it
// started after the object API was restored from a backup, and had the build of a process that has ended. Another daemon knew.
func TestOriginAtEndedProcessIsNotBelieved(t *testing.T) {
	is := is.New(t)
	d := newOriginDaemons(t, "h-1", "h-2")
	d.addBuild()
	d.configure(20 * time.Second)
	current := d.view
	current.Endpoints = slices.Clone(d.view.Endpoints)
	current.Endpoints[0].Build, current.Endpoints[0].Incarnation = "v2", 2
	d.cores["h-2"].Configure(epoch.Add(22*time.Second), current)
	at := map[historian.StreamKey]namer.Endpoint{}
	for key := range historian.StreamKey(20) {
		d.send(24*time.Second, "h-1", key+1, false)
		at[key+1] = d.sentTo.Name
	}
	outdated := 0
	for key, began := range at {
		for _, host := range []namer.Host{"h-2", "h-1"} { // the daemon that began it is told
			d.send(25*time.Second, host, key, true)
			is.Equal(d.refused == classifier.StreamUnknown, began == current.Endpoints[0].Name)
		}
		if began == current.Endpoints[0].Name {
			outdated++
		}
	}
	is.True(outdated > 0)
}

// Guards against a stream that is joined from two builds because a daemon that is cut off from the object API still has the origin
// that another one has told it and then learned to be wrong.
func TestUncertainOriginIsRetracted(t *testing.T) {
	is := is.New(t)
	d := newOriginDaemons(t, "h-1", "h-2")
	d.addBuild()
	d.configure(20 * time.Second)
	at := map[historian.StreamKey]namer.Endpoint{}
	for key := range historian.StreamKey(60) {
		d.send(24*time.Second, "h-1", key+1, false)
		at[key+1] = d.sentTo.Name
	}
	current := d.view
	current.Endpoints = slices.Clone(d.view.Endpoints)
	current.Endpoints[0].Build, current.Endpoints[0].Incarnation = "v2", 2
	d.cores["h-1"].Configure(epoch.Add(25*time.Second), current)
	d.tick(25*time.Second + 10*time.Millisecond)
	delete(d.cores, "h-1")
	for key := range historian.StreamKey(20) {
		d.send(25500*time.Millisecond, "h-2", 100+key, false)
		is.True(d.sentTo.Name != current.Endpoints[0].Name) // whose version h-2 doesn't know
	}
	for key, began := range at {
		d.send(25500*time.Millisecond, "h-2", key, true)
		is.Equal(d.refused == classifier.StreamUnknown, began == current.Endpoints[0].Name)
	}
}

// Guards against a stream that goes on at an engine which a restored object API lists with the build of a process that has ended, at
// daemons that have started since; and against new streams that wait, and a caller that is told to come back too early.
func TestNoStreamGoesOnBeforeEntriesAreSettled(t *testing.T) {
	is := is.New(t)
	d := newOriginDaemons(t, "h-1", "h-2")
	d.addBuild()
	d.settles, d.started = 24*time.Second, true
	d.configure(20 * time.Second)
	d.send(21*time.Second, "h-1", 7, false)
	began := d.sentTo.Build
	is.True(began != "")
	for _, host := range []namer.Host{"h-1", "h-2"} {
		d.send(22*time.Second, host, 7, true)
		is.Equal(d.refused, classifier.StreamUnknown)
		is.True(d.retry >= 1500*time.Millisecond && d.retry <= 2500*time.Millisecond) // 2 s, spread by a quarter
	}
	d.confirm(24500 * time.Millisecond)
	for _, host := range []namer.Host{"h-1", "h-2"} {
		d.send(25*time.Second, host, 7, true)
		is.Equal(d.sentTo.Build, began)
	}
}

package historian_test

import (
	"testing"

	"github.com/matryer/is"

	"apricotspool/historian"
	"apricotspool/namer"
)

func set(builds ...namer.Build) map[namer.Build]bool {
	s := map[namer.Build]bool{}
	for _, b := range builds {
		s[b] = true
	}
	return s
}

// Guards against streams whose build is guessed: a daemon that has just started, a build that has just left, and a list
// that names others.
func TestOnlyBuildIsCertain(t *testing.T) {
	for name, c := range map[string]struct {
		listed  []namer.Build
		observe func(b *historian.Builds)
		at      namer.Seconds
		only    namer.Build
	}{
		"watched for long":     {nil, func(b *historian.Builds) { b.Observe(0, set("v1")) }, 12.1, "v1"},
		"not watched for long": {nil, func(b *historian.Builds) { b.Observe(0, set("v1")) }, 11.9, ""},
		"listed alone":         {[]namer.Build{"v1"}, func(b *historian.Builds) { b.Observe(0, set("v1")) }, 0, "v1"},
		"another one listed":   {[]namer.Build{"v2"}, func(b *historian.Builds) { b.Observe(0, set("v1")) }, 5, ""},
		"two listed":           {[]namer.Build{"v1", "v2"}, func(b *historian.Builds) { b.Observe(0, set("v1")) }, 5, ""},
		"two listed, watched":  {[]namer.Build{"v1", "v2"}, func(b *historian.Builds) { b.Observe(0, set("v1")) }, 12.1, "v1"},
		"two serve":            {nil, func(b *historian.Builds) { b.Observe(0, set("v1", "v2")) }, 100, ""},
		"the other one has just gone": {nil, func(b *historian.Builds) {
			b.Observe(0, set("v1", "v2"))
			b.Observe(50, set("v1"))
		}, 61.9, ""},
		"the other one has gone": {nil, func(b *historian.Builds) {
			b.Observe(0, set("v1", "v2"))
			b.Observe(50, set("v1"))
		}, 62.1, "v1"},
		"the other one came back": {nil, func(b *historian.Builds) {
			b.Observe(0, set("v1", "v2"))
			b.Observe(50, set("v1"))
			b.Observe(60, set("v1", "v2"))
			b.Observe(61, set("v1"))
		}, 72.9, ""},
		"none serves": {nil, func(b *historian.Builds) { b.Observe(0, nil) }, 100, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := &historian.Builds{Lifetime: 10, Settling: 2}
			if c.listed != nil {
				b.SetListed(c.listed, nil)
			}
			c.observe(b)
			only, _ := b.Only(c.at, historian.Currency{Unbroken: c.at + 1})
			is.New(t).Equal(only, c.only)
		})
	}
}

// Guards against streams that begin at a build of which other daemons don't know yet, or which isn't listed.
func TestBuildSettlesBeforeItBegins(t *testing.T) {
	is := is.New(t)
	b := &historian.Builds{Lifetime: 10, Settling: 2}
	b.Observe(0, set("v1"))
	is.True(!b.MayBegin(0, "v1")) // not listed
	b.SetListed([]namer.Build{"v1"}, nil)
	is.True(b.MayBegin(0, "v1"))
	b.Observe(20, set("v1", "v2"))
	b.SetListed([]namer.Build{"v1", "v2"}, nil)
	is.True(!b.MayBegin(21.5, "v2")) // a daemon whose observations are that old still takes v1 for the only build
	_, only := b.Only(20, historian.Currency{Age: 1.5, Unbroken: 20})
	is.True(!only)
	is.True(b.MayBegin(21.7, "v2"))
	left, listed := b.BeginsIn(20, "v2")
	is.True(left > 1.5 && left < 1.7)
	is.True(listed)
	b.Observe(30, set("v1"))
	b.Observe(41, set("v1", "v2")) // others may have forgotten it
	is.True(!b.MayBegin(42, "v2"))
	is.True(b.MayBegin(43, "v2"))
	b.Missed(50, 5)
	is.True(b.MayBegin(50, "v2"))
	b.Missed(50, 11) // it may have been gone in the gap
	is.True(!b.MayBegin(51, "v2"))
	is.True(b.MayBegin(52, "v2"))
}

// Guards against a build that counts as the only one at a daemon which couldn't have seen another one: its observations are
// old, have just had a gap, or the list is from before the gap.
func TestOnlyBuildNeedsCurrentObservations(t *testing.T) {
	for name, c := range map[string]struct {
		listed   bool
		currency historian.Currency
		certain  bool
	}{
		"current":                           {false, historian.Currency{Age: 1.4, Unbroken: 12.1}, true},
		"old":                               {false, historian.Currency{Age: 1.6, Unbroken: 12.1}, false},
		"after a gap":                       {false, historian.Currency{Unbroken: 11.9}, false},
		"after a gap, listed since":         {true, historian.Currency{Unbroken: 1, ListAge: 0.5}, true},
		"after a gap, listed before":        {true, historian.Currency{Unbroken: 1, ListAge: 1.5}, false},
		"listed, old":                       {true, historian.Currency{Age: 1.6, Unbroken: 12.1, ListAge: 0.5}, false},
		"restored store, incomplete as yet": {true, historian.Currency{Unbroken: -1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := &historian.Builds{Lifetime: 10, Settling: 2}
			if c.listed {
				b.SetListed([]namer.Build{"v1"}, nil)
			}
			b.Observe(0, set("v1"))
			_, certain := b.Only(20, c.currency)
			is.New(t).Equal(certain, c.certain)
		})
	}
}

// Guards against origins that change, stay for ever, outlive doubt, or take memory without bound.
func TestOrigins(t *testing.T) {
	is := is.New(t)
	var o historian.Origins
	o.Record(0, 1, historian.Origin{Build: "v1", Endpoint: "a", Until: 10})
	o.Record(1, 1, historian.Origin{Build: "v2", Endpoint: "b", Until: 12})
	origin, known := o.Of(11, 1)
	is.True(known)
	is.Equal(origin.Build, namer.Build("v1"))
	_, known = o.Of(12.1, 1)
	is.True(!known)
	o.Record(1, 0, historian.Origin{Build: "v1", Until: 10})
	o.Record(1, 2, historian.Origin{Until: 10})
	for _, key := range []historian.StreamKey{0, 2} {
		_, known = o.Of(1, key)
		is.True(!known)
	}
	o.Record(5, 3, historian.Origin{Build: "v1", Endpoint: "a", At: 5, Until: 10})
	o.Forget("a", 5)
	_, known = o.Of(5, 3)
	is.True(!known)
	_, known = o.Of(5, 1)
	is.True(known) // began earlier
	for key := range historian.StreamKey(historian.MaxOrigins + 100) {
		o.Record(6, key+10, historian.Origin{Build: "v1", Until: 100})
	}
	n := 0
	o.All(6, func(historian.StreamKey, historian.Origin) { n++ })
	is.True(n <= historian.MaxOrigins)
	_, known = o.Of(6, historian.MaxOrigins+109)
	is.True(known) // the newest one
}

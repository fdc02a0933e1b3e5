package announcer_test

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/announcer"
	"apricotspool/decider"
	"apricotspool/imitator"
	"apricotspool/namer"
	"apricotspool/storer"
)

func start(t *testing.T, store *imitator.Store, host namer.Host, port uint16) (*announcer.Announcer, func()) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port)
	a := &announcer.Announcer{
		Self: announcer.Member{Host: host, DataCentre: "a", PeerAddress: address, DatagramAddress: address}, Store: store, Reader: store,
	}
	ctx, stop := context.WithCancel(t.Context())
	go a.Run(ctx)
	return a, func() {
		stop()
		<-a.Done()
	}
}

func hosts(a *announcer.Announcer) []namer.Host {
	var hosts []namer.Host
	for _, m := range a.Members() {
		hosts = append(hosts, m.Host)
	}
	slices.Sort(hosts)
	return hosts
}

// Guards against daemons that fail to discover each other, or that keep one that has left.
func TestMembersDiscoverEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &imitator.Store{}
		a, stopA := start(t, store, "a", 1)
		b, stopB := start(t, store, "b", 2)
		defer stopA()
		time.Sleep(4 * time.Second)
		is.Equal(hosts(a), []namer.Host{"a", "b"})
		is.Equal(hosts(b), []namer.Host{"a", "b"})
		b.Deregister()
		stopB()
		time.Sleep(4 * time.Second)
		is.Equal(hosts(a), []namer.Host{"a"})
	})
}

// Guards against a restarted daemon that is not announced because its old entry still exists, or whose
// entry keeps its old address.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &imitator.Store{}
		_, stop := start(t, store, "a", 1)
		time.Sleep(time.Second)
		stop() // a killed daemon leaves its entry behind
		puts := store.Calls()["put"]
		same, stop := start(t, store, "a", 1)
		time.Sleep(4 * time.Second)
		is.Equal(hosts(same), []namer.Host{"a"})
		is.Equal(store.Calls()["put"], puts+1) // an entry that is still valid is not rewritten
		stop()
		moved, stop := start(t, store, "a", 9)
		defer stop()
		time.Sleep(4 * time.Second)
		is.Equal(moved.Members()[0].PeerAddress.Port(), uint16(9))
	})
}

// Guards against a daemon that is never announced because the object API was unavailable at its start.
func TestAnnouncedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		outageEnd := time.Now().Add(5 * time.Second)
		store := &imitator.Store{Fault: func(context.Context, string, string) imitator.Fault {
			if time.Now().Before(outageEnd) {
				return imitator.Fault{Err: storer.ErrUnavailable}
			}
			return imitator.Fault{}
		}}
		a, stop := start(t, store, "a", 1)
		defer stop()
		is.Equal(len(a.Members()), 0)
		time.Sleep(10 * time.Second)
		is.Equal(hosts(a), []namer.Host{"a"})
	})
}

// Guards against a daemon that stays unknown after the store was restored from a backup without its entry.
func TestEntryIsWrittenAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &imitator.Store{}
		empty := store.Backup()
		a, stopA := start(t, store, "a", 1)
		b, stopB := start(t, store, "b", 2)
		defer stopA()
		defer stopB()
		time.Sleep(4 * time.Second)
		store.Restore(empty)
		time.Sleep(6 * time.Second)
		is.Equal(hosts(a), []namer.Host{"a", "b"})
		is.Equal(hosts(b), []namer.Host{"a", "b"})
		calls := store.Calls()["put"]
		time.Sleep(time.Minute)
		is.Equal(store.Calls()["put"], calls)
	})
}

// Guards against blocked prompt parts that are lost when a daemon restarts and writes its entry before it knows them,
// and against writes without a change.
func TestBlockedPartsOutliveRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &imitator.Store{}
		a, stop := start(t, store, "a", 1)
		time.Sleep(time.Second)
		parts := []decider.BlockedPart{{Part: 0x5c1e07a2, Level: 1, Since: time.Unix(1000, 0).UTC(), Until: time.Unix(2000, 0).UTC()}}
		puts := store.Calls()["put"]
		for range 3 {
			a.SetBlockedParts(parts)
			time.Sleep(time.Second)
		}
		is.Equal(store.Calls()["put"], puts+1)
		stop()
		moved, stop := start(t, store, "a", 9) // has to write another address
		defer stop()
		time.Sleep(4 * time.Second)
		is.Equal(moved.Members()[0].PeerAddress.Port(), uint16(9))
		is.Equal(moved.Members()[0].BlockedParts, parts)
		puts = store.Calls()["put"]
		moved.SetBlockedParts(nil)
		time.Sleep(6 * time.Second)
		is.Equal(len(moved.Members()[0].BlockedParts), 0)
		is.Equal(store.Calls()["put"], puts+1)
	})
}

// Guards against an odd entry of another client that hides sound daemons, or names a daemon that can't exist.
func TestOddEntriesNameNoDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &imitator.Store{}
		for name, value := range map[string]string{
			"b":      `{"host":"a","data-centre":"a","peers":"10.0.0.9:1","datagrams":"10.0.0.9:1"}`, // of another daemon
			"c":      `{"host":"c","data-centre":"a","peers":"10.0.0.9:70000","datagrams":"10.0.0.9:1"}`,
			"d":      `{"host":"d","data-centre":"a","peers":"10.0.0.9:1"}`,
			"e":      `{"host":"e","data-centre":"a","peers":"10.0.0.9:1","datagrams":"0.0.0.0:1"}`,
			"f":      `{"host":"f","data-centre":"a","peers":"10.0.0.9:1","datagrams":"10.0.0.9:0"}`,
			"g":      `{"host":"g","data-centre":"a","peers":"10.0.0.9:1","datagrams":"10.0.0.9:1","blocked-parts":[{"level":1e99}]}`,
			"h":      `[[[[`,
			"i":      `{"host":"i","data-centre":"a","peers":"10.0.0.9:1","datagrams":"10.0.0.9:1","x":"` + strings.Repeat("x", 100_000) + `"}`,
			"sound":  `{"host":"sound","data-centre":"a","peers":"10.0.0.9:1","datagrams":"10.0.0.9:1","unknown":{"x":[[1]]}}`,
			"no\nme": `{"host":"no\nme","data-centre":"a","peers":"10.0.0.9:1","datagrams":"10.0.0.9:1"}`,
		} {
			_, err := store.Put(t.Context(), announcer.Prefix+name, []byte(value), 0)
			is.NoErr(err)
		}
		a, stop := start(t, store, "a", 1)
		defer stop()
		time.Sleep(4 * time.Second)
		is.Equal(hosts(a), []namer.Host{"a", "sound"})
	})
}

// Guards against a daemon that the others don't know any more, since another client has spoilt its entry.
func TestOverwrittenEntryIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &imitator.Store{}
		a, stop := start(t, store, "a", 1)
		defer stop()
		time.Sleep(4 * time.Second)
		for _, value := range []string{`{"host":"b"}`, `null`, `?`} {
			old, err := store.Get(t.Context(), announcer.Prefix+"a")
			is.NoErr(err)
			_, err = store.Put(t.Context(), old.Key, []byte(value), old.Version)
			is.NoErr(err)
			time.Sleep(10 * time.Second)
			is.Equal(hosts(a), []namer.Host{"a"})
		}
		puts := store.Calls()["put"]
		time.Sleep(time.Minute)
		is.Equal(store.Calls()["put"], puts)
	})
}

// Guards against a daemon that the others don't know any more since the store has carried out a removal late: that of the
// process before it on its host, whose entry it has kept.
func TestEntryIsWrittenAgainAfterLateRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &imitator.Store{}
		a, stop := start(t, store, "a", 1)
		defer stop()
		time.Sleep(4 * time.Second)
		old, err := store.Get(t.Context(), announcer.Prefix+"a")
		is.NoErr(err)
		is.NoErr(store.Delete(t.Context(), old.Key, old.Version))
		time.Sleep(6 * time.Second)
		is.Equal(hosts(a), []namer.Host{"a"})
		a.Deregister() // a daemon that leaves runs on for a while
		time.Sleep(6 * time.Second)
		is.Equal(len(hosts(a)), 0)
		is.Equal(store.Calls()["put"], 2)
	})
}

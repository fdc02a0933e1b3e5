package activator_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"apricotspool/activator"
	"apricotspool/attester"
	"apricotspool/authenticator"
	"apricotspool/classifier"
	"apricotspool/follower"
	"apricotspool/imitator"
	"apricotspool/matcher"
	"apricotspool/namer"
	"apricotspool/storer"
	"apricotspool/timekeeper"
)

const configKey = "config/main"

// store is a store whose calls can hang.
type store struct {
	*imitator.Store
	mu  sync.Mutex
	cut bool
}

func (s *store) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

func (s *store) hang(ctx context.Context) error {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if !cut {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return storer.ErrUnavailable
}

func (s *store) List(ctx context.Context, prefix, after string, limit int) (storer.Page, error) {
	if err := s.hang(ctx); err != nil {
		return storer.Page{}, err
	}
	return s.Store.List(ctx, prefix, after, limit)
}

func (s *store) Watch(ctx context.Context, prefix string, since storer.Version) (storer.Changes, error) {
	if err := s.hang(ctx); err != nil {
		return storer.Changes{}, err
	}
	changes, err := s.Store.Watch(ctx, prefix, since)
	if cut := s.hang(ctx); cut != nil {
		return storer.Changes{}, cut
	}
	return changes, err
}

// readers connects a daemon to a reader, which may be unreachable for it.
type readers struct {
	reader *follower.Follower
	cut    func() bool
}

func (readers) IsReader() bool     { return false }
func (readers) ReportStaleReader() {}
func (r readers) Sync(ctx context.Context, request *follower.SyncRequest) (*follower.SyncReply, error) {
	if r.cut != nil && r.cut() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return r.reader.Serve(ctx, request), nil
}

// decode decodes a configuration of the form "VERSION KEY...".
func decode(value []byte) (*matcher.Table, error) {
	fields := strings.Fields(string(value))
	if len(fields) < 2 {
		return nil, errors.New("too short")
	}
	table := matcher.New(namer.ConfigVersion(fields[0][0]-'0'), nil, nil, matcher.Limits{})
	for _, key := range fields[1:] {
		table.Workspaces = append(table.Workspaces, matcher.Workspace{Name: "w", Keys: []matcher.Key{matcher.Key(key)}})
	}
	return table, nil
}

// daemon is the part of a daemon that checks keys. Its clock runs ahead of virtual time by the time it was suspended.
type daemon struct {
	*activator.Activator
	follower  *follower.Follower
	mu        sync.Mutex
	suspended time.Duration
	log       bytes.Buffer // read after the end only
}

func startDaemon(t *testing.T, source storer.Reader, from follower.Readers) *daemon {
	return startAttested(t, source, from, nil)
}

func startAttested(t *testing.T, source storer.Reader, from follower.Readers, attested func(attester.Record) bool) *daemon {
	d := &daemon{}
	begin := time.Now()
	clock := func() timekeeper.Instant {
		d.mu.Lock()
		defer d.mu.Unlock()
		return timekeeper.Instant(time.Since(begin) + d.suspended)
	}
	d.follower = &follower.Follower{Source: source, Prefix: configKey, StalenessBound: 3 * time.Second, Clock: clock, Readers: from}
	d.Activator = &activator.Activator{
		Source: d.follower, Key: configKey, Decode: decode, Clock: clock, Log: zerolog.New(&d.log), Attested: attested,
		Bounds: authenticator.Bounds{Revocation: 5 * time.Second, Staleness: 3 * time.Second},
	}
	ctx, stop := context.WithCancel(t.Context())
	go d.follower.Run(ctx)
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		for {
			changed := d.follower.Changed()
			d.Apply()
			for unchanged := true; unchanged; {
				d.Confirm()
				select {
				case <-time.After(200 * time.Millisecond):
					d.Apply() // as on a change of the endpoints
				case <-changed:
					unchanged = false
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	t.Cleanup(func() {
		stop()
		<-d.follower.Done()
		<-applied
	})
	return d
}

// suspend makes the daemon's clock jump, as that of a machine that was suspended.
func (d *daemon) suspend(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspended += duration
}

// check returns the outcome of a request with a key.
func (d *daemon) check(key matcher.Key) classifier.Outcome {
	_, outcome := d.View().Check([]matcher.Key{key}, false)
	return outcome
}

func write(t *testing.T, s *store, config string) {
	t.Helper()
	old, _ := s.Get(t.Context(), configKey)
	_, err := s.Put(t.Context(), configKey, []byte(config), old.Version)
	is.New(t).NoErr(err)
}

// served is the outcome of a request that isn't refused.
const served = classifier.Outcome("")

// Guards against a withdrawn key that runs at a daemon which can't reach the store, directly or as one that the cut reader
// feeds; and against refusals before the bound, and after the end of the partition.
func TestWithdrawalWhileCutOff(t *testing.T) {
	for name, fed := range map[string]bool{"reader": false, "fed by the cut reader": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &store{Store: &imitator.Store{}}
				write(t, s, "1 old new")
				d := startDaemon(t, s, nil)
				if fed {
					d = startDaemon(t, s, readers{reader: d.follower})
				}
				time.Sleep(2 * time.Second)
				is.Equal(d.check("old"), served)
				s.setCut(true)
				write(t, s, "2 new")
				withdrawn := time.Now()
				for time.Since(withdrawn) < 20*time.Second {
					outcome := d.check("old")
					is.True(time.Since(withdrawn) <= 5*time.Second || outcome == classifier.KeysNotCurrent)
					is.True(time.Since(withdrawn) >= 3*time.Second || outcome == served) // 0.6 of the bound
					is.True(time.Since(withdrawn) < 3500*time.Millisecond || d.check("unknown") == classifier.KeysNotCurrent)
					time.Sleep(10 * time.Millisecond)
				}
				s.setCut(false)
				time.Sleep(4 * time.Second)
				is.Equal(d.check("old"), classifier.Unauthenticated)
				is.Equal(d.check("new"), served)
			})
		})
	}
}

// Guards against a daemon that takes what it knew before it was suspended for new.
func TestWithdrawalWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{Store: &imitator.Store{}}
		write(t, s, "1 old new")
		d := startDaemon(t, s, nil)
		time.Sleep(2 * time.Second)
		is.Equal(d.check("old"), served)
		s.setCut(true) // nothing of the daemon runs while it is suspended
		write(t, s, "2 new")
		d.suspend(6 * time.Second)
		is.Equal(d.check("old"), classifier.KeysNotCurrent)
		is.Equal(d.check("new"), classifier.KeysNotCurrent)
		is.True(!d.View().Current())
		s.setCut(false)
		time.Sleep(4 * time.Second)
		is.Equal(d.check("old"), classifier.Unauthenticated)
		is.Equal(d.check("new"), served)
		is.True(d.View().Current())
	})
}

// Guards against a daemon that has just started and gets an old replica from a reader that is cut off from the store and has
// been suspended.
func TestJustStartedAtCutReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{Store: &imitator.Store{}}
		write(t, s, "1 old new")
		reader := startDaemon(t, s, nil)
		time.Sleep(2 * time.Second)
		s.setCut(true)
		write(t, s, "2 new")
		reader.suspend(4 * time.Second)
		withdrawn := time.Now().Add(-4 * time.Second)
		d := startDaemon(t, s, readers{reader: reader.follower})
		for time.Since(withdrawn) < 15*time.Second {
			outcome := d.check("old")
			is.True(d.View().Directory == nil || time.Since(withdrawn) <= 5*time.Second || outcome == classifier.KeysNotCurrent)
			time.Sleep(10 * time.Millisecond)
		}
		s.setCut(false)
		time.Sleep(4 * time.Second)
		is.Equal(d.check("old"), classifier.Unauthenticated)
	})
}

// Guards against keys that stay valid behind a newest configuration that can't be decoded or is gone, and against confirmations
// of a listing that has not been applied.
func TestUndecodableConfigurationIsNotConfirmed(t *testing.T) {
	for name, change := range map[string]func(t *testing.T, s *store){
		"undecodable": func(t *testing.T, s *store) { write(t, s, "2") },
		"gone": func(t *testing.T, s *store) {
			old, _ := s.Get(t.Context(), configKey)
			is.New(t).NoErr(s.Delete(t.Context(), configKey, old.Version))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &store{Store: &imitator.Store{}}
				write(t, s, "1 a")
				d := startDaemon(t, s, nil)
				time.Sleep(2 * time.Second)
				change(t, s)
				time.Sleep(2 * time.Second)
				is.Equal(d.check("a"), served)
				time.Sleep(3 * time.Second)
				is.Equal(d.check("a"), classifier.KeysNotCurrent)
				write(t, s, "3 a")
				time.Sleep(time.Second)
				is.Equal(d.check("a"), served)
			})
		})
	}
}

// Guards against a fleet without keys after a restore of the store to an older configuration.
func TestRestoredStoreConfirmsNewerConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{Store: &imitator.Store{}}
		write(t, s, "1 a")
		backup := s.Backup()
		write(t, s, "2 b")
		d := startDaemon(t, s, nil)
		time.Sleep(2 * time.Second)
		s.Restore(backup)
		time.Sleep(20 * time.Second)
		is.Equal(d.check("b"), served)
		is.Equal(d.check("a"), classifier.Unauthenticated)
	})
}

// Guards against a new configuration that is confirmed before it is in force: while it waits to be applied, the earlier one
// ages.
func TestUnappliedConfigurationAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{Store: &imitator.Store{}}
		write(t, s, "1 a")
		f := &follower.Follower{Source: s, Prefix: configKey, StalenessBound: 3 * time.Second}
		begin := time.Now()
		f.Clock = func() timekeeper.Instant { return timekeeper.Instant(time.Since(begin)) }
		a := &activator.Activator{Source: f, Key: configKey, Decode: decode, Clock: f.Clock, Bounds: authenticator.Bounds{Revocation: 5 * time.Second}}
		ctx, stop := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		a.Apply()
		is.True(a.View().Current())
		write(t, s, "2 b")
		time.Sleep(6 * time.Second)
		is.True(!a.View().Current())
		a.Apply()
		is.True(a.View().Current())
		stop()
		<-f.Done()
	})
}

// Guards against a withdrawn key that runs because the store was restored from a backup in which it is listed: at a daemon that
// has started since, and at one that was cut off when the key was withdrawn. A key that wasn't withdrawn runs on at a daemon
// that lived through the restore, and at one that starts with it or with any other daemon.
func TestWithdrawnKeyInRestoredStore(t *testing.T) {
	for name, row := range map[string]struct {
		withdrawn, rewritten time.Duration // before and after the restore
		starts, fed          bool          // after the restore, at a reader that lived through it
		cut                  bool          // from the withdrawal to the restore
		current              time.Duration // from when keys may be refused
	}{
		"started after the restore":   {withdrawn: 6 * time.Second, rewritten: 1900 * time.Millisecond, starts: true, current: 4 * time.Second},
		"started at a living reader":  {withdrawn: 6 * time.Second, rewritten: 1900 * time.Millisecond, starts: true, fed: true, current: 4 * time.Second},
		"cut off at the withdrawal":   {withdrawn: 3900 * time.Millisecond, rewritten: 1900 * time.Millisecond, cut: true, current: 4 * time.Second},
		"knows the withdrawal":        {withdrawn: 3 * time.Second, rewritten: 1900 * time.Millisecond},
		"rewritten after the restore": {withdrawn: 6 * time.Second, rewritten: 100 * time.Millisecond, starts: true, current: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &store{Store: &imitator.Store{}}
				write(t, s, "1 old new")
				backup := s.Backup()
				d := startDaemon(t, s, nil)
				time.Sleep(2 * time.Second)
				s.setCut(row.cut)
				write(t, s, "2 new")
				time.Sleep(row.withdrawn)
				s.Restore(backup)
				s.setCut(false)
				if row.starts {
					var from follower.Readers
					if row.fed {
						from = readers{reader: d.follower}
					}
					d = startDaemon(t, s, from)
				}
				restored := time.Now()
				for time.Since(restored) < 12*time.Second {
					if time.Since(restored) >= row.rewritten && s.Store.Calls()["put"] == 2 {
						write(t, s, "2 new")
					}
					is.True(d.View().Directory == nil || time.Since(restored)+row.withdrawn <= 5*time.Second || d.check("old") != served)
					is.True(time.Since(restored) < row.current || d.check("new") == served)
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against a fleet that refuses all keys after each start of its daemons, because the store was restored once, long ago.
func TestKeysRunAfterRestartInLaterEra(t *testing.T) {
	for name, attested := range map[string]bool{"a daemon lived on": false, "all were killed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &store{Store: &imitator.Store{}}
				write(t, s, "1 a")
				s.Restore(s.Backup())
				reader := startDaemon(t, s, nil)
				time.Sleep(10 * time.Second)
				d := startDaemon(t, s, readers{reader: reader.follower})
				if attested {
					d = startAttested(t, s, nil, func(r attester.Record) bool { return r.Attested(2) })
				}
				time.Sleep(100 * time.Millisecond)
				is.Equal(d.check("a"), served)
			})
		})
	}
}

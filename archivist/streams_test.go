package archivist_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/archivist"
	"apricotspool/historian"
	"apricotspool/imitator"
	"apricotspool/storer"
)

// daemon keeps and learns streams.
type daemon struct {
	mu      sync.Mutex // guards the fields below
	begun   archivist.Begun
	learned []archivist.Begun
}

func (d *daemon) taken() []archivist.Begun {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.learned
}

func (d *daemon) start(t *testing.T, store archivist.StreamsStore, several bool) (stop func()) {
	s := &archivist.Streams{
		Store: store, Host: "h",
		InProgress: func(context.Context) (archivist.Begun, error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.begun, nil
		},
		Learn: func(b archivist.Begun) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.learned = append(d.learned, b)
		},
		Several: func() (bool, bool) { return several, true },
		Period:  func() time.Duration { return time.Second },
	}
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	return func() {
		cancel()
		<-s.Done()
	}
}

// Guards against streams that nobody knows after all daemons were killed, and against objects that stay when there are none.
func TestStreamsInProgressAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store imitator.Store
		begun := archivist.Begun{"llm": {"v1": []historian.StreamKey{7, 1<<63 + 1}, "v2": []historian.StreamKey{9}}}
		d := &daemon{begun: begun}
		stop := d.start(t, &store, true)
		time.Sleep(1500 * time.Millisecond)
		stop()
		is.Equal(d.taken(), []archivist.Begun{{}})

		d.learned, d.begun = nil, nil
		stop = d.start(t, &store, true)
		synctest.Wait()
		is.Equal(d.taken(), []archivist.Begun{begun})
		time.Sleep(1500 * time.Millisecond)
		_, err := store.Get(t.Context(), archivist.StreamsPrefix+"h")
		is.True(err != nil) // no stream is in progress
		stop()

		d.learned = nil
		stop = d.start(t, &store, false) // one build serves
		synctest.Wait()
		is.Equal(d.taken(), []archivist.Begun{nil})
		stop()
	})
}

// Guards against a daemon that takes streams from an object that it can't read, or keeps nothing any more after a conflict.
func TestOddStreamObjects(t *testing.T) {
	for name, value := range map[string]string{
		"unreadable": `{`, "no key": `{"llm":{"v1":["0"]}}`, "text": `{"llm":{"v1":["xyz"]}}`, "no build": `{"llm":{"":["7"]}}`, "list": `[]`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var store imitator.Store
				for _, key := range []string{"h", "other"} {
					_, err := store.Put(t.Context(), archivist.StreamsPrefix+key, []byte(value), 0)
					is.NoErr(err)
				}
				d := &daemon{begun: archivist.Begun{"llm": {"v1": []historian.StreamKey{7}}}}
				defer d.start(t, &store, true)()
				time.Sleep(1500 * time.Millisecond)
				is.Equal(d.taken(), []archivist.Begun{{}})
				written, err := store.Get(t.Context(), archivist.StreamsPrefix+"h")
				is.NoErr(err)
				is.Equal(string(written.Value), `{"llm":{"v1":["7"]}}`)

				_, err = store.Put(t.Context(), archivist.StreamsPrefix+"h", []byte(`{}`), written.Version)
				is.NoErr(err)
				d.mu.Lock()
				d.begun = archivist.Begun{"llm": {"v1": []historian.StreamKey{8}}}
				d.mu.Unlock()
				time.Sleep(3 * time.Second)
				written, err = store.Get(t.Context(), archivist.StreamsPrefix+"h")
				is.NoErr(err)
				is.Equal(string(written.Value), `{"llm":{"v1":["8"]}}`)
			})
		})
	}
}

var _ archivist.StreamsStore = storer.Store(nil)

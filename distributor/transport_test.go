package distributor_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"apricotspool/distributor"
	"apricotspool/gossiper"
	"apricotspool/imitator"
	"apricotspool/messenger"
	"apricotspool/recorder"
)

type alone struct{ view *gossiper.View }

func (a alone) View() *gossiper.View { return a.view }

// Guards against entries and documents that don't survive the way over HTTP, or lose their time.
func TestPeersOverHTTP(t *testing.T) {
	is := is.New(t)
	start := func() (*distributor.Distributor, *distributor.Client, netip.AddrPort) {
		d := &distributor.Distributor{
			Store: &imitator.Store{}, Members: alone{&gossiper.View{}}, Transport: &distributor.Client{Messenger: &messenger.Client{HTTP: http.DefaultClient, Scheme: "http"}},
			Metrics: recorder.NewMetrics(), Log: zerolog.Nop(),
		}
		mux := http.NewServeMux()
		for path, handler := range d.Handlers() {
			mux.Handle(path, handler)
		}
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		go d.Run(t.Context())
		<-d.Ready()
		client := &distributor.Client{Messenger: &messenger.Client{HTTP: server.Client(), Scheme: "http"}}
		return d, client, netip.MustParseAddrPort(server.Listener.Addr().String())
	}
	near, nearClient, nearAt := start()
	far, farClient, farAt := start()
	for i := range 2 {
		is.Equal(near.Patch(t.Context(), distributor.Patch{ID: "p", Base: near.Snapshot().Version(), Merge: region(i)}).Result, distributor.Applied)
	}
	whole, err := nearClient.Fetch(t.Context(), nearAt, &distributor.FetchRequest{})
	is.NoErr(err)
	is.Equal(string(whole.Document), string(near.Snapshot().Document().Encode()))
	part, err := nearClient.Fetch(t.Context(), nearAt, &distributor.FetchRequest{Since: 1})
	is.NoErr(err)
	is.Equal(len(part.Entries), 1)
	is.True(time.Since(part.Entries[0].At) < time.Minute)
	changed := far.Changed()
	_, err = farClient.Announce(t.Context(), farAt, &distributor.Announcement{Version: 2, From: nearAt, Entries: part.Entries})
	is.NoErr(err)
	<-changed // the missing first version was fetched from the sender
	is.Equal(far.Snapshot().Version(), near.Snapshot().Version())
	is.Equal(far.Snapshot().Digest(), near.Snapshot().Digest())
}

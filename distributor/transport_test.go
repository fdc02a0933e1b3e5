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

type fixedMembers struct{ view *gossiper.View }

func (m fixedMembers) View() *gossiper.View { return m.view }

// Guards against entries and documents that are altered by the encoding over HTTP, such as a lost time.
func TestPeersOverHTTP(t *testing.T) {
	is := is.New(t)
	start := func() (*distributor.Distributor, *distributor.Client, netip.AddrPort) {
		d := &distributor.Distributor{
			Store: &imitator.Store{}, Members: fixedMembers{&gossiper.View{}}, Transport: &distributor.Client{Messenger: &messenger.Client{HTTP: http.DefaultClient, Scheme: "http"}},
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
	source, sourceClient, sourceAddress := start()
	target, targetClient, targetAddress := start()
	for i := range 2 {
		is.Equal(source.Patch(t.Context(), distributor.Patch{ID: "p", Base: source.Snapshot().Version(), Merge: regionPatch(i)}).Result, distributor.Applied)
	}
	full, err := sourceClient.Fetch(t.Context(), sourceAddress, &distributor.FetchRequest{})
	is.NoErr(err)
	is.Equal(string(full.Document), string(source.Snapshot().Document().Encode()))
	delta, err := sourceClient.Fetch(t.Context(), sourceAddress, &distributor.FetchRequest{Since: 1})
	is.NoErr(err)
	is.Equal(len(delta.Entries), 1)
	is.True(time.Since(delta.Entries[0].At) < time.Minute)
	changed := target.Changed()
	_, err = targetClient.Announce(t.Context(), targetAddress, &distributor.Announcement{Version: 2, From: sourceAddress, Entries: delta.Entries})
	is.NoErr(err)
	<-changed // the first version, which was missing, was fetched from the sender
	is.Equal(target.Snapshot().Version(), source.Snapshot().Version())
	is.Equal(target.Snapshot().Digest(), source.Snapshot().Digest())
}

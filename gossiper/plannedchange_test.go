package gossiper_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/gossiper"
)

// Guards against a former lease holder that resumes and clears its successor's notice, a poll that
// withdraws the notice of a planned change, and a notice that outlives the process that set it.
func TestChangingNoticeIsFenced(t *testing.T) {
	is := is.New(t)
	s := snapshot(t, 1, 3, 48)
	now := time.Now()
	table := &gossiper.Table{Self: peer(0, 3), Incarnation: 1, Random: rand.New(rand.NewPCG(1, 1))}
	table.Configure(now, s)
	changing := func() bool { return table.View(now).Changing(endpoint(3)) && table.View(now).Leaving(s, endpoint(3)) }

	table.SetChanging(now, endpoint(3), 1, true)
	is.True(changing())
	table.SetChanging(now, endpoint(3), 2, true) // the next lease holder
	now = now.Add(time.Second)
	is.Equal(len(table.SetChanging(now, endpoint(3), 1, false)), 0) // the former holder resumes
	is.True(changing())
	table.Observe(now, gossiper.Subject{Kind: gossiper.KindEndpoint, Name: string(endpoint(3)), Source: gossiper.SourceState}, false)
	is.True(changing())
	table.SetChanging(now, endpoint(3), 2, false)
	is.True(!changing())

	table.SetChanging(now, endpoint(3), 2, true)
	now = now.Add(11 * time.Minute)
	table.Tick(now)
	is.True(!changing()) // expired, as its process never withdrew it
}

package gossiper_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"apricotspool/gossiper"
	"apricotspool/messenger"
)

// Guards against a malformed message of a faulty peer that makes the decoder or the table panic.
func FuzzExchange(f *testing.F) {
	s := snapshot(f, 1, 3, 6)
	sender := &gossiper.Table{Self: peer(0, 3), Incarnation: 1, Random: rand.New(rand.NewPCG(1, 1))}
	sender.Configure(time.Now(), s)
	for _, to := range []gossiper.Target{{Address: address(1), DataCentre: peer(3, 3).DataCentre}, {Address: address(1), DataCentre: peer(1, 3).DataCentre}} {
		message, err := messenger.Marshal(sender.OpenExchange(time.Now(), to))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(message)
	}
	f.Add([]byte{0x9f})
	f.Add([]byte("\x88\x83\x60\x60\x60"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var message gossiper.Exchange
		if messenger.Unmarshal(data, &message) != nil || message.From.Host == "" || !message.From.Address.IsValid() || len(message.Digest)%2 != 0 {
			return // rejected by Gossiper.Exchange
		}
		table := &gossiper.Table{Self: peer(2, 3), Incarnation: 1, Random: rand.New(rand.NewPCG(2, 2))}
		table.Configure(time.Now(), s)
		table.HandleExchange(time.Now(), &message)
		table.View(time.Now())
	})
}

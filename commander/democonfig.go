package commander

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"apricotspool/configurer"
	"apricotspool/namer"
)

// Bearer tokens of the demonstration's callers.
const (
	demoUrgentToken = "urgent-demo-token"
	demoFreeToken   = "free-demo-token"
)

// demoConfiguration returns the patch that creates the demonstration's configuration.
func demoConfiguration(d *demonstration) []byte {
	ranks := map[namer.Rank]configurer.Rank{
		"urgent": {Order: 0, FirstToken: namer.Duration(1400 * time.Millisecond), BetweenTokens: namer.Duration(44 * time.Millisecond), Share: 0.7},
		"free":   {Order: 1, FirstToken: namer.Duration(30 * time.Second), BetweenTokens: namer.Duration(200 * time.Millisecond), Share: 0.2},
	}
	document := configurer.Document{
		DataCentres: map[namer.DataCentre]configurer.DataCentre{"a": {Region: "loopback"}},
		Models:      map[namer.Model]configurer.Model{"belt-7b": {Version: "1", Context: 65536, KVBytes: 131072}},
		Services: map[namer.Service]configurer.Service{
			"fitters": {Kind: configurer.KindModel, Models: []namer.Model{"belt-7b"}, Ranks: ranks, Deadline: namer.Duration(time.Minute)},
			"ordering": {
				Kind: configurer.KindPlain, Ranks: ranks, Deadline: namer.Duration(10 * time.Second),
				NonIdempotent: []configurer.CallPattern{{Method: "POST", Path: "/orders"}},
			},
		},
		Callers: map[namer.Caller]configurer.Caller{
			"bench": demoCaller(demoUrgentToken, "urgent"),
			"guest": demoCaller(demoFreeToken, "free"),
		},
		Endpoints: map[namer.Endpoint]configurer.Endpoint{
			"ordering-1": {Service: "ordering", Address: d.ordering, DataCentre: "a"},
		},
	}
	for i, address := range d.engines {
		document.Endpoints[namer.Endpoint("engine-"+strconv.Itoa(i+1))] = configurer.Endpoint{
			Service: "fitters", Address: address, DataCentre: "a", Models: []namer.Model{"belt-7b"}, Role: namer.RoleMixed, Fencing: true,
		}
	}
	patch, err := json.Marshal(document)
	if err != nil {
		panic(err) // all types of the document can be encoded
	}
	return patch
}

func demoCaller(token string, rank namer.Rank) configurer.Caller {
	sum := sha256.Sum256([]byte(token))
	return configurer.Caller{TokenSHA256: hex.EncodeToString(sum[:]), Rank: rank, Services: []namer.Service{"fitters", "ordering"}}
}

package provisioner

import "apricotspool/namer"

// Names of what is internal to the choice of the cheapest set, for its tests.
type (
	// Offer is what can be ordered in a data centre.
	Offer struct {
		DataCentre         namer.DataCentre
		Price, Preemptible float64
		Max                int
		Limits             [kinds]int
	}
	// Need is what a set of engines has to fulfil.
	Need struct{ All, AfterLoss, Min int }
)

// Cheapest calls cheapest.
func Cheapest(offers []Offer, n Need) map[namer.DataCentre][kinds]int {
	var internal []offer
	for _, o := range offers {
		internal = append(internal, offer{dataCentre: o.DataCentre, price: o.Price, preemptible: o.Preemptible, max: o.Max, limits: o.Limits})
	}
	return cheapest(internal, need{all: n.All, afterLoss: n.AfterLoss, min: n.Min})
}

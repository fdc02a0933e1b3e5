// Package coordinator brings role changes from the planner to the directors. One daemon in the whole
// fleet, the holder of the housekeeping lease, runs the planner and writes what it wants of each
// data centre to the object API. The holder of a data centre's lease reads that and lets its
// director carry it out. A plan is advice: only the data centre's own authority allows a command,
// so a planner that has lost its lease can at worst propose a needless change.
package coordinator

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// plan is what the planner wants of one data centre now.
type plan struct {
	Planner namer.Process `json:"planner"`
	Fencing namer.Fencing `json:"fencing"` // of the planner's lease
	At      time.Time     `json:"at"`      // planner's clock, for operators
	Roles   []roleChange  `json:"roles"`
}

type roleChange struct {
	Endpoint namer.Endpoint `json:"endpoint"`
	Role     namer.Role     `json:"role"`
}

func planKey(d namer.DataCentre) string { return "plan/" + string(d) }

func decodePlan(value []byte) (plan, error) {
	var p plan
	err := json.Unmarshal(value, &p)
	return p, errors.Wrap(err, "decode plan")
}

// Package coordinator passes role changes from the planner to the directors. One daemon in the whole
// fleet, the holder of the housekeeping lease, runs the planner and writes one plan per data centre
// to the object API. The holder of a data centre's lease reads the plan and applies it through its
// director. A plan is only advisory: commands require the authority of the data centre's lease, so a
// planner that has lost its lease can at worst propose an unnecessary change.
package coordinator

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// plan is the list of role changes that the planner currently wants in one data centre.
type plan struct {
	Planner namer.Process      `json:"planner"`
	Fencing namer.FencingToken `json:"fencing"` // of the planner's lease
	At      time.Time          `json:"at"`      // planner's clock, for operators
	Roles   []roleChange       `json:"roles"`
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

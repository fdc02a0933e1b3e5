package gossiper

import (
	"math"
	"slices"
	"time"

	"apricotspool/generator"
)

// maxReportAge bounds the age of a report computed from the engine's clock. With a larger clock skew
// the age is not trusted, and the report counts as new.
const maxReportAge = 10 * time.Second

// LoadOf converts an engine's load report to the form exchanged between daemons.
func LoadOf(report generator.LoadReport, now time.Time) Load {
	age := now.Sub(report.At)
	if age < 0 || age > maxReportAge {
		age = 0
	}
	return Load{
		Age: ageOf(age), Running: report.Running, Waiting: report.Waiting, WaitingPrefill: report.WaitingPrefill,
		KVUsed:  uint8(math.Round(255 * min(1, max(0, report.KVUsed)))),
		Role:    uint8(max(0, slices.Index(roles, report.Role))),
		Leaving: report.Leaving,
	}
}

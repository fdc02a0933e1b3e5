package gossiper

import (
	"math"
	"slices"
	"time"

	"apricotspool/generator"
)

// maxReportAge bounds the age that an engine's clock can give its report. A clock that differs by
// more is not trusted, and the report counts as new.
const maxReportAge = 10 * time.Second

// LoadOf turns an engine's report into the form that daemons exchange.
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

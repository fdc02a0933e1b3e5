package matcher

import (
	"slices"
	"time"

	"apricotspool/namer"
)

// lifetimeFactor is the number of route timeouts after which no caller takes up a stream that has begun. Its first call may
// have lasted as long as the route permits, and the caller's own deadline isn't known.
const lifetimeFactor = 2

// StreamLifetime returns the longest time from the begin of a stream of a service until a caller takes it up; 0 if none can
// be taken up.
func (t *Table) StreamLifetime(service namer.Service) time.Duration {
	longest := time.Duration(0)
	for _, r := range t.Routes {
		if r.Kind == Stream && r.Resumable && slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service }) {
			longest = max(longest, lifetimeFactor*r.Timeout)
		}
	}
	return longest
}

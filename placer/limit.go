package placer

import (
	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/throttler"
)

// observeLimit records what a response says about the rate limit of its endpoint.
func (c *Core) observeLimit(now namer.Seconds, event decider.Event) {
	e := c.endpoints[event.Endpoint]
	if e == nil || event.Limit.State == decider.LimitInvalid {
		return
	}
	c.updateLimit(e, throttler.Statement{
		Limited: event.Limit.State == decider.LimitStated, Rate: event.Limit.Rate, RequestedAt: c.seconds(event.RequestedAt), ReceivedAt: now,
	})
}

// updateLimit applies a statement of an endpoint and reports a change.
func (c *Core) updateLimit(e *endpoint, s throttler.Statement) {
	if !e.limit.Update(s) {
		return
	}
	report := decider.Action{Kind: decider.ActionReport, Report: decider.EndpointUnlimited, Endpoint: e.view.Name}
	if s.Limited {
		report.Report, report.Limit = decider.EndpointLimited, s.Rate
	}
	c.actions = append(c.actions, report)
}

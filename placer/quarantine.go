package placer

import (
	"cmp"
	"slices"
	"time"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/quarantiner"
)

// quarantine keeps requests from endpoints that end them: those whose prompts have a part that does, and those that
// come again. Every daemon has the evidence of all. The first daemon by rendezvous hash of the part asks the others for
// successes, and then blocks the part at all of them.
type quarantine struct {
	table      quarantiner.Table
	ended      map[quarantiner.Process]namer.Seconds // when the process is known to have ended
	lost       []lostAttempt
	generating []startedAttempt
	finished   []finishedAttempt // by the time of their end
	asked      map[quarantiner.Part]*asked
	outbox     outbox
	merged     []quarantiner.Block // from entries, not yet reported
}

// suspicion is what speaks for and against a request in the quarantine.
type suspicion struct {
	parts        []quarantiner.Part // that may end an endpoint
	dispatchedAt namer.Seconds
	startedAt    namer.Seconds
	cleared      bool // the current attempt has counted as a success
	reported     bool // the end of the current attempt's engine has been reported with it
	endings      int  // engines that have ended under the request
	trial        bool // of the blocked part
	part         quarantiner.Part
}

func (s *suspicion) dispatched(now namer.Seconds) {
	s.dispatchedAt, s.cleared, s.reported = now, false, false
}

// lostAttempt is a failed attempt whose engine may turn out to have ended.
type lostAttempt struct {
	endpoint *endpoint
	at       namer.Seconds
	suspect  quarantiner.Suspect
}

// startedAttempt is an attempt that has begun to generate.
type startedAttempt struct {
	request *request
	attempt namer.Attempt
}

// finishedAttempt is an attempt that has delivered its whole response.
type finishedAttempt struct {
	endpoint *endpoint
	at       namer.Seconds
	suspect  quarantiner.Suspect
}

// asked is what other daemons have answered about a part that is due.
type asked struct {
	at           namer.Seconds
	endings      int // that counted against it
	served, lost int
}

const (
	// finishedDelay is the time for which an engine must survive a short response before it counts as a success.
	finishedDelay namer.Seconds = 0.2
	// suspectTime is the time after the first event in which an engine ends that a request has caused to end, and in
	// which the connection is known to be broken. The longer it is, the more sound requests are suspects.
	suspectTime namer.Seconds = 0.1
	// detectionShare is the share of the route's targets, as its divisor, in which the end is told from a broken
	// connection.
	detectionShare = 4
	// soundRatio is the time for which a stream must go on to count as a success, relative to the time for which it is a
	// suspect.
	soundRatio = 2
	// minSoundTime is the shortest such time.
	minSoundTime namer.Seconds = 0.5
	// lostTTL is the time within which a failed attempt is explained by the end of its engine.
	lostTTL  namer.Seconds = 2
	maxLost                = 128
	endedTTL namer.Seconds = 60
	// reportedEndings is the number of endings from which on a cleared part is reported.
	reportedEndings = 3
	// askWait is the time for the answers of other daemons before a part is blocked.
	askWait namer.Seconds = 0.1
	// askTTL is the time for which an answer stands, and in which successes are reported.
	askTTL namer.Seconds = 2
	// deciderDelay is the delay per rank after which a daemon decides if those before it haven't.
	deciderDelay namer.Seconds = 0.5
	// trialRetry is the retry delay while a trial is due.
	trialRetry = 5 * time.Second
	// heldRetry is the retry delay while a request that comes again is tried for the first time.
	heldRetry = 300 * time.Millisecond
)

// suspectParts returns the parts of the prompt but the last, which is the request's own, and the request as a whole.
func suspectParts(r *decider.Request) []quarantiner.Part {
	shared := r.Parts[:min(max(0, len(r.Parts)-1), maxSuspectParts-1)]
	parts := make([]quarantiner.Part, 0, len(shared)+1)
	for _, p := range shared {
		parts = append(parts, quarantiner.PromptPart(p.ID))
	}
	if r.Fingerprint != 0 {
		parts = append(parts, quarantiner.WholeRequest(uint64(r.Fingerprint)))
	}
	return parts
}

// suspect reports whether the request may end its engine: it has not generated for long enough.
func (q *request) suspect(now namer.Seconds) bool {
	return q.stage == running && len(q.suspicion.parts) > 0 && !q.suspicion.cleared && (!q.started || now-q.suspicion.startedAt <= q.suspectTime())
}

func (q *request) suspectTime() namer.Seconds {
	return suspectTime + namer.SecondsOf(cmp.Or(q.TargetGap, q.Target))/detectionShare
}

// soundTime returns the time after the first event at which a stream counts as a success.
func (q *request) soundTime() namer.Seconds {
	return max(minSoundTime, soundRatio*q.suspectTime())
}

func (q *request) asSuspect() quarantiner.Suspect {
	own := uint64(q.Fingerprint)
	if n := len(q.Parts); n > 0 {
		own = q.Parts[n-1].ID
	}
	return quarantiner.Suspect{Request: quarantiner.Request(own), DispatchedAt: q.suspicion.dispatchedAt, Parts: q.suspicion.parts}
}

// isBlocked reports whether the request has a blocked part.
func (c *Core) isBlocked(now namer.Seconds, q *request) bool {
	if !c.quarantine.table.Blocking() && !c.quarantine.table.Suspecting() {
		return false
	}
	return slices.ContainsFunc(q.suspicion.parts, func(part quarantiner.Part) bool {
		_, blocked := c.quarantine.table.Blocked(now, part)
		return (blocked || c.quarantine.table.Undecided(now, part)) && !q.tries(part)
	})
}

// tries reports whether the request is the trial of a part.
func (q *request) tries(part quarantiner.Part) bool {
	return q.suspicion.trial && q.suspicion.part == part
}

// refuseBlocked refuses a request with a blocked part, unless it is sent as the trial of that part. It reports
// whether the request has been refused.
func (c *Core) refuseBlocked(now namer.Seconds, q *request) bool {
	if !c.isBlocked(now, q) {
		return false
	}
	table := &c.quarantine.table
	for _, part := range q.suspicion.parts {
		left, blocked := table.Blocked(now, part)
		undecided := table.Undecided(now, part)
		if !(blocked || undecided) || q.tries(part) || (blocked && c.beginTrial(now, q, part)) {
			continue
		}
		retryAfter := trialRetry
		switch {
		case left > 0:
			retryAfter = left.Duration()
		case part.Whole() && (undecided || table.Held(part)):
			retryAfter = heldRetry
		}
		outcome := classifier.PromptBlocked
		if part.Whole() {
			outcome = classifier.RequestBlocked
		}
		c.refuse(now, q, outcome, retryAfter)
		return true
	}
	return false
}

// beginTrial makes a new request the trial of a blocked part, if this daemon may send one.
func (c *Core) beginTrial(now namer.Seconds, q *request, part quarantiner.Part) bool {
	if q.suspicion.trial || q.attempt > 0 || !c.quarantine.table.BeginTrial(now, part, c.rank(now, part)) {
		return false
	}
	q.suspicion.trial, q.suspicion.part = true, part
	c.quarantine.outbox.add(notice{trial: &part})
	c.sendNotices(now)
	return true
}

func (c *Core) endTrial(q *request) {
	if q.suspicion.trial {
		c.quarantine.table.EndTrial(q.suspicion.part)
		q.suspicion.trial = false
	}
}

// rank returns the rank of this daemon for a part among the responsive ones.
func (c *Core) rank(now namer.Seconds, part quarantiner.Part) int {
	own, rank := rendezvous(uint64(part), string(c.Self)), 0
	for _, m := range c.members {
		if m.Host != c.Self && now >= m.unresponsiveUntil && rendezvous(uint64(part), string(m.Host)) > own {
			rank++
		}
	}
	return rank
}

// recordGenerating handles the first event of a response.
func (c *Core) recordGenerating(now namer.Seconds, q *request) {
	q.suspicion.startedAt = now
	if len(q.suspicion.parts) > 0 {
		c.quarantine.generating = append(c.quarantine.generating, startedAttempt{q, q.attempt})
	}
}

// recordFinished handles the end of a response.
func (c *Core) recordFinished(now namer.Seconds, q *request) {
	if !q.suspicion.cleared && len(q.suspicion.parts) > 0 {
		c.quarantine.finished = append(c.quarantine.finished, finishedAttempt{q.endpoint, now, q.asSuspect()})
	}
}

// recordSuccesses records the successes of the streams that go on and of the responses whose engines live on.
func (c *Core) recordSuccesses(now namer.Seconds) {
	c.quarantine.generating = slices.DeleteFunc(c.quarantine.generating, func(s startedAttempt) bool {
		q := s.request
		if q.attempt != s.attempt || q.stage != running || q.suspicion.cleared {
			return true
		}
		if now-q.suspicion.startedAt <= q.soundTime() {
			return false
		}
		q.suspicion.cleared = true
		c.recordPromptSuccess(now, q.Service, q.suspicion.parts)
		return true
	})
	survived := 0
	for _, f := range c.quarantine.finished {
		if now-f.at <= finishedDelay {
			break
		}
		survived++
		c.recordPromptSuccess(now, f.endpoint.view.Service, f.suspect.Parts)
	}
	c.quarantine.finished = slices.Delete(c.quarantine.finished, 0, survived)
}

// recordPromptSuccess clears the parts of a request.
func (c *Core) recordPromptSuccess(now namer.Seconds, service namer.Service, parts []quarantiner.Part) {
	for _, cleared := range c.quarantine.table.RecordSuccess(now, service, parts) {
		c.reportCleared(cleared)
		c.quarantine.outbox.add(notice{cleared: &cleared})
	}
}

// recordPromptFailure records the end of an engine with its suspects. It reports whether the failed request must not
// be sent again.
func (c *Core) recordPromptFailure(now namer.Seconds, q *request, e decider.Event) bool {
	suspect := q.suspect(now) && !e.NotRun
	process := quarantiner.Process{Endpoint: q.endpoint.view.Name, Incarnation: q.endpoint.view.Incarnation}
	if e.Ended {
		c.recordEnding(now, process, q, suspect)
	} else if suspect {
		c.recordLost(now, q)
	}
	if !suspect {
		return false
	}
	if !e.Ended {
		return false
	}
	if q.suspicion.trial {
		took := now - q.suspicion.dispatchedAt
		c.announceBlock(now, c.quarantine.table.FailTrial(now, q.suspicion.part, took, len(q.pool.endpoints)))
		return true
	}
	q.suspicion.endings++
	return q.suspicion.endings > 1 || c.quarantine.table.Implicated(process, q.suspicion.parts)
}

// recordLost remembers a failed attempt, in case that its engine turns out to have ended.
func (c *Core) recordLost(now namer.Seconds, q *request) {
	lost := slices.DeleteFunc(c.quarantine.lost, func(l lostAttempt) bool { return now-l.at > lostTTL })
	if len(lost) >= maxLost {
		lost = slices.Delete(lost, 0, 1)
	}
	c.quarantine.lost = append(lost, lostAttempt{q.endpoint, now, q.asSuspect()})
}

// recordEnding records the end of an engine, of which each of its requests has an event. The first one reports
// all suspects.
func (c *Core) recordEnding(now namer.Seconds, process quarantiner.Process, q *request, suspect bool) {
	ending := quarantiner.Ending{Process: process, Service: q.Service, At: now}
	others := 0
	endedAt, known := c.quarantine.ended[process]
	switch {
	case !known:
		if c.quarantine.ended == nil {
			c.quarantine.ended = map[quarantiner.Process]namer.Seconds{}
		}
		c.quarantine.ended[process] = now
		ending.Suspects = c.suspects(now, q, suspect)
		others = c.unsuspected(now, q.endpoint)
	case suspect && !q.suspicion.reported && q.suspicion.dispatchedAt < endedAt:
		ending.At = endedAt
		ending.Suspects = []quarantiner.Suspect{q.asSuspect()}
	}
	if len(ending.Suspects) == 0 {
		return
	}
	c.quarantine.table.RecordLost(now, q.Service, len(ending.Suspects), others)
	c.quarantine.table.RecordEnding(now, ending)
	c.quarantine.outbox.addEnding(ending)
	c.sendNotices(now)
}

// suspects returns the suspects of the ending of a request's engine at this daemon, the first dispatched first.
func (c *Core) suspects(now namer.Seconds, failed *request, suspect bool) []quarantiner.Suspect {
	var suspects []quarantiner.Suspect
	for _, q := range c.requests {
		if q.endpoint == failed.endpoint && q.suspect(now) && (q != failed || suspect) {
			q.suspicion.reported = true
			suspects = append(suspects, q.asSuspect())
		}
	}
	for _, l := range c.quarantine.lost {
		if l.endpoint == failed.endpoint && now-l.at <= lostTTL {
			suspects = append(suspects, l.suspect)
		}
	}
	c.quarantine.finished = slices.DeleteFunc(c.quarantine.finished, func(f finishedAttempt) bool {
		ended := f.endpoint == failed.endpoint && now-f.at <= finishedDelay
		if ended {
			suspects = append(suspects, f.suspect)
		}
		return ended
	})
	slices.SortFunc(suspects, func(a, b quarantiner.Suspect) int {
		return cmp.Or(cmp.Compare(a.DispatchedAt, b.DispatchedAt), cmp.Compare(a.Request, b.Request))
	})
	return suspects
}

// unsuspected counts the requests at an endpoint that have generated for so long that they haven't ended it, and haven't
// counted as successes yet.
func (c *Core) unsuspected(now namer.Seconds, e *endpoint) int {
	n := 0
	for _, q := range c.requests {
		if q.endpoint == e && q.stage == running && len(q.suspicion.parts) > 0 && !q.suspicion.cleared && !q.suspect(now) {
			n++
		}
	}
	return n
}

// updateQuarantine records successes, blocks the parts that are due and sends what other daemons have to know.
func (c *Core) updateQuarantine(now namer.Seconds) {
	c.recordSuccesses(now)
	for process, at := range c.quarantine.ended {
		if now-at > endedTTL {
			delete(c.quarantine.ended, process)
		}
	}
	for _, b := range c.quarantine.merged {
		c.reportPart(decider.PromptPartBlocked, b.Part, nil, b.Until-now)
	}
	c.quarantine.merged = nil
	c.decideBlocks(now)
	c.sendNotices(now)
}

// decideBlocks blocks the parts that are due, if no daemon knows of a success since their first ending and their
// endings are no coincidence.
func (c *Core) decideBlocks(now namer.Seconds) {
	for part, a := range c.quarantine.asked {
		if now-a.at > askTTL {
			delete(c.quarantine.asked, part)
		}
	}
	table := &c.quarantine.table
	for _, part := range table.Due(now) {
		suspicion := table.Suspicion(part)
		if now < suspicion.Last+namer.Seconds(c.rank(now, part))*deciderDelay {
			continue
		}
		a := c.quarantine.asked[part]
		if a == nil || a.endings != suspicion.Endings {
			c.ask(now, part, suspicion)
			continue
		}
		if now-a.at < askWait {
			continue
		}
		served, lost := table.Tally(now, suspicion.Service, suspicion.First)
		switch table.Judge(part, served+a.served, lost+a.lost) {
		case quarantiner.Proven:
			c.announceBlock(now, table.Block(now, part))
		case quarantiner.Probable:
			c.announceBlock(now, table.BlockBriefly(now, part))
		}
	}
}

// ask asks the other daemons what they know about a part.
func (c *Core) ask(now namer.Seconds, part quarantiner.Part, s quarantiner.Suspicion) {
	if c.quarantine.asked == nil {
		c.quarantine.asked = map[quarantiner.Part]*asked{}
	}
	c.quarantine.asked[part] = &asked{at: now, endings: s.Endings}
	c.reportPart(decider.PromptPartSuspected, part, c.quarantine.table.Endings(part), 0)
	c.broadcast(Message{Quarantine: &Quarantine{Asks: []Ask{{Part: part, Age: ageOf(now, s.First), Service: s.Service}}}})
}

// answer answers what this daemon knows about a part.
func (c *Core) answer(now namer.Seconds, to namer.Host, a Ask) {
	table := &c.quarantine.table
	message := &Quarantine{}
	if soundAt := table.Watch(now, a.Part, now+askTTL); soundAt >= now-a.Age {
		message.Clears = []PartClear{{Part: a.Part, Age: ageOf(now, soundAt)}}
	}
	served, lost := table.Tally(now, a.Service, now-a.Age)
	message.Answers = []Answer{{Part: a.Part, Served: served, Lost: lost}}
	c.send(to, Message{Quarantine: message})
}

// announceBlock reports a block and sends it to the other daemons.
func (c *Core) announceBlock(now namer.Seconds, block quarantiner.Block) {
	c.reportPart(decider.PromptPartBlocked, block.Part, block.Endings, block.Until-now)
	c.quarantine.outbox.add(notice{block: &block})
	c.sendNotices(now)
}

func (c *Core) reportCleared(cleared quarantiner.Cleared) {
	if cleared.Blocked || cleared.Endings >= reportedEndings {
		c.reportPart(decider.PromptPartCleared, cleared.Part, nil, 0)
	}
}

func (c *Core) reportPart(report decider.Report, part quarantiner.Part, endings []quarantiner.Process, length namer.Seconds) {
	if part.Whole() {
		report = requestReports[report]
	}
	action := decider.Action{Kind: decider.ActionReport, Report: report, Part: part.ID(), ReportDuration: length.Duration()}
	for _, p := range endings {
		action.Ended = append(action.Ended, p.Endpoint)
	}
	c.actions = append(c.actions, action)
}

// requestReports are the reports about whole requests.
var requestReports = map[decider.Report]decider.Report{
	decider.PromptPartSuspected: decider.RequestSuspected, decider.PromptPartBlocked: decider.RequestBlocked, decider.PromptPartCleared: decider.RequestCleared,
}

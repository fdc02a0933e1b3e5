// Package quarantiner finds the work under which endpoints end, and keeps the list of what is blocked: a part of
// prompts under which engines end as soon as they generate a response, or a request under which any endpoint ends. It
// does no I/O and reads no clock: times are passed in. A Table is owned by one goroutine.
//
// All parts of a request are suspects when its endpoint ends. A part is told from the others by the endings that
// it was present at, of several endpoints and under different requests, without a success in between. A request that
// comes again is a part of its own, which no other request has; two endings are enough to hold it back until one
// repetition has been tried alone.
package quarantiner

import (
	"cmp"
	"math"
	"slices"

	"apricotspool/namer"
)

// Part identifies a part of prompts, or a whole request.
type Part uint64

// wholeBit tells whole requests from prompt parts, whose IDs callers choose.
const wholeBit Part = 1 << 63

// PromptPart returns the part with the given ID in prompts.
func PromptPart(id uint64) Part { return Part(id) &^ wholeBit }

// WholeRequest returns the part that all repetitions of a request have, and no other request.
func WholeRequest(fingerprint uint64) Part { return Part(fingerprint) | wholeBit }

// ID returns the ID in prompts, or the fingerprint.
func (p Part) ID() uint64 { return uint64(p &^ wholeBit) }

// Whole reports whether the part is a whole request.
func (p Part) Whole() bool { return p&wholeBit != 0 }

// Request identifies a request by its own part of the prompt, so that its repetitions are the same request.
type Request uint64

// Process is one run of an engine.
type Process struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    namer.Endpoint
	Incarnation namer.Incarnation
}

// Suspect is a request that may have ended an engine.
type Suspect struct {
	Request      Request
	DispatchedAt namer.Seconds // to the engine
	Parts        []Part        // of the prompt that are shared with other requests, in order
}

// Ending is the end of an engine's process.
type Ending struct {
	Process  Process
	Service  namer.Service
	At       namer.Seconds // when it became known
	Suspects []Suspect
}

// Never is before all times.
var Never = namer.Seconds(math.Inf(-1))

const (
	// minEndings and minRequests are the smallest numbers of counted endings, and of requests that they belong to, that
	// block a part. One request that is repeated may end engines by what it shares with no other.
	minEndings  = 3
	minRequests = 2
	// minRepeats is the number of counted endings that hold back a request which comes again.
	minRepeats = 2
	// undecidedTime is the time after an ending in which such a request waits for the verdict.
	undecidedTime namer.Seconds = 1
	// maxCounted and maxPresent limit the endings that are kept of a part.
	maxCounted = 16
	maxPresent = 32
	maxLosses  = 8
	// maxCarriers and maxEnded limit what is kept to tell whether a part was present by chance.
	maxCarriers = 64
	maxEnded    = 64
	// settleTime is the time in which engines that fail together are noticed, and in which all daemons have
	// reported one ending.
	settleTime namer.Seconds = 0.1
	// noticeTime is the time that the notice of an ending takes to other daemons. A request that has ended an endpoint may
	// reach another daemon before it.
	noticeTime namer.Seconds = 0.01
	// dueTime is the time after an ending in which a part can be blocked. Later, the successes of other requests
	// say little about the time of the endings.
	dueTime namer.Seconds = 10
	// evidenceTTL is the time without another ending after which those of a part are forgotten.
	evidenceTTL namer.Seconds = 600
	// MaxTracked and MaxBlocked limit the table. Parts over the limit are dropped, the least recently used first.
	MaxTracked = 4096
	MaxBlocked = 256
	// evictionShare is the fraction of the table that is dropped at once when it is full.
	evictionShare = 1.0 / 8
)

// Table holds the evidence against parts, and the blocked ones. The zero value is an empty table.
type Table struct {
	records map[Part]*record
	blocked int // number of blocked parts
	// candidates holds the parts that may be due.
	candidates map[Part]*record
	tallies    map[namer.Service]*tally
	ended      []serviceEnding // the last maxEnded
}

// record is the evidence about a part.
type record struct {
	part         Part
	service      namer.Service   // of the last ending
	depth        int             // position in the prompt
	endings      []counted       // since the last success
	present      []Process       // all that have ended with it among the suspects since
	carriers     []Request       // that were suspects with it since the last success
	losses       []namer.Seconds // endings with it among the suspects, also before the last success
	soundAt      namer.Seconds   // last known success
	usedAt       namer.Seconds
	watchedUntil namer.Seconds // the next success is reported
	block        *block
}

// serviceEnding is the ending of an engine of a service.
type serviceEnding struct {
	process Process
	service namer.Service
	at      namer.Seconds
}

// counted is an ending that counts against a part.
type counted struct {
	process Process
	request Request
	at      namer.Seconds
}

// Cleared is a part that has turned out to be sound.
type Cleared struct {
	Part    Part
	At      namer.Seconds // of the success
	Endings int           // that were counted against it
	Blocked bool
}

func (t *Table) init() {
	if t.records == nil {
		t.records = map[Part]*record{}
		t.candidates = map[Part]*record{}
		t.tallies = map[namer.Service]*tally{}
	}
}

// Len returns the number of parts in the table.
func (t *Table) Len() int { return len(t.records) }

// record returns the record of a part, and adds it if necessary.
func (t *Table) record(now namer.Seconds, part Part) *record {
	t.init()
	r := t.records[part]
	if r == nil {
		if len(t.records) >= MaxTracked {
			t.evict()
		}
		r = &record{part: part, soundAt: Never, watchedUntil: Never}
		t.records[part] = r
	}
	r.usedAt = now
	return r
}

// evict drops the least recently used parts, blocked ones after all others.
func (t *Table) evict() {
	all := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *record) int {
		if (a.block == nil) != (b.block == nil) {
			if a.block == nil {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.usedAt, b.usedAt)
	})
	for _, r := range all[:int(evictionShare*MaxTracked)] {
		t.unblock(r)
		delete(t.records, r.part)
		delete(t.candidates, r.part)
	}
}

// RecordEnding counts an ending against its suspects. Several daemons may report the same ending, each with its own
// suspects.
func (t *Table) RecordEnding(now namer.Seconds, e Ending) {
	t.init()
	if !slices.ContainsFunc(t.ended, func(known serviceEnding) bool { return known.process == e.Process }) {
		t.ended = append(t.ended[max(0, len(t.ended)-maxEnded+1):], serviceEnding{e.Process, e.Service, e.At})
	}
	if t.blocked > 0 && t.explain(now, e) {
		return
	}
	for _, s := range e.Suspects {
		for depth, part := range s.Parts {
			r := t.record(now, part)
			r.depth, r.service = depth, e.Service
			if r.count(e, s) && r.suspicious() {
				t.candidates[part] = r
			}
		}
	}
}

// explain counts an ending against a blocked part, if there is one among its suspects. It is no evidence
// against the others then.
func (t *Table) explain(now namer.Seconds, e Ending) bool {
	explained := false
	for _, s := range e.Suspects {
		for _, part := range s.Parts {
			if r := t.records[part]; r != nil && r.block != nil {
				r.usedAt = now
				r.meet(e.Process, e.At)
				r.add(counted{e.Process, s.Request, e.At})
				explained = true
			}
		}
	}
	return explained
}

// count counts an ending against a part, unless it may have the same cause as one that is counted already.
func (r *record) count(e Ending, s Suspect) bool {
	if e.At <= r.soundAt {
		return false
	}
	if n := len(r.endings); n > 0 && e.At-r.endings[n-1].at > evidenceTTL {
		r.endings, r.present, r.carriers = nil, nil, nil
	}
	r.meet(e.Process, e.At)
	if len(r.carriers) < maxCarriers && !slices.Contains(r.carriers, s.Request) {
		r.carriers = append(r.carriers, s.Request)
	}
	if n := len(r.endings); n > 0 {
		settled := settleTime
		if r.part.Whole() {
			settled = -noticeTime
		}
		if s.DispatchedAt <= r.endings[n-1].at+settled {
			return false
		}
	}
	return r.add(counted{e.Process, s.Request, e.At})
}

// add adds an ending unless the process is counted already. It keeps the last ones.
func (r *record) add(c counted) bool {
	if r.counts(c.process) {
		return false
	}
	if len(r.endings) >= maxCounted {
		r.endings = slices.Delete(r.endings, 0, 1)
	}
	r.endings = append(r.endings, c)
	return true
}

func (r *record) counts(p Process) bool {
	return slices.ContainsFunc(r.endings, func(c counted) bool { return c.process == p })
}

// suspicious reports whether a part has enough endings to be looked at.
func (r *record) suspicious() bool {
	if r.part.Whole() {
		return len(r.endings) >= minRepeats
	}
	return len(r.endings) >= minEndings && r.requests() >= minRequests
}

// requests returns the number of requests whose endings count.
func (r *record) requests() int {
	n := 0
	for i, c := range r.endings {
		if !slices.ContainsFunc(r.endings[:i], func(before counted) bool { return before.request == c.request }) {
			n++
		}
	}
	return n
}

// meet records that a part was among the suspects of an ending.
func (r *record) meet(p Process, at namer.Seconds) {
	if slices.Contains(r.present, p) {
		return
	}
	r.losses = append(r.losses[max(0, len(r.losses)-maxLosses+1):], at)
	if len(r.present) >= maxPresent {
		r.present = slices.Delete(r.present, 0, 1)
	}
	r.present = append(r.present, p)
}

// Endings returns the processes whose endings count against a part.
func (t *Table) Endings(part Part) []Process {
	r := t.records[part]
	if r == nil {
		return nil
	}
	var processes []Process
	for _, c := range r.endings {
		processes = append(processes, c.process)
	}
	return processes
}

// Suspicion summarizes the endings that count against a part.
type Suspicion struct {
	Service     namer.Service
	Endings     int
	First, Last namer.Seconds // when they became known
}

// Suspicion returns what counts against a part.
func (t *Table) Suspicion(part Part) Suspicion {
	r := t.records[part]
	if r == nil || len(r.endings) == 0 {
		return Suspicion{First: Never, Last: Never}
	}
	return Suspicion{r.service, len(r.endings), r.endings[0].at, r.endings[len(r.endings)-1].at}
}

// Implicated reports whether the ending of a process is at least the second one that counts against one of the
// parts.
func (t *Table) Implicated(p Process, parts []Part) bool {
	for _, part := range parts {
		if r := t.records[part]; r != nil && len(r.endings) > 1 && r.counts(p) {
			return true
		}
	}
	return false
}

// RecordSuccess clears the parts of a request that has succeeded. It returns those that other daemons may
// suspect.
func (t *Table) RecordSuccess(now namer.Seconds, service namer.Service, parts []Part) []Cleared {
	t.tally(service).add(now, 1, 0)
	if len(t.records) == 0 {
		return nil
	}
	var cleared []Cleared
	for _, part := range parts {
		r := t.records[part]
		if r == nil {
			continue
		}
		report := len(r.endings) > 1 || r.block != nil || now < r.watchedUntil
		c := t.clear(r, now, len(r.endings))
		if report {
			r.watchedUntil = Never
			cleared = append(cleared, c)
		}
	}
	return cleared
}

// Clear applies a success that another daemon has seen.
func (t *Table) Clear(now namer.Seconds, c Cleared) Cleared {
	r := t.record(now, c.Part)
	if c.At <= r.soundAt {
		return Cleared{Part: c.Part, At: c.At}
	}
	return t.clear(r, c.At, max(c.Endings, len(r.endings)))
}

// clear drops what speaks against a part up to the time of a success.
func (t *Table) clear(r *record, at namer.Seconds, endings int) Cleared {
	c := Cleared{Part: r.part, At: at, Endings: endings}
	r.soundAt = max(r.soundAt, at)
	if r.endings = slices.DeleteFunc(r.endings, func(c counted) bool { return c.at <= at }); len(r.endings) == 0 {
		r.present, r.carriers = nil, nil
	}
	if r.block != nil && r.block.since <= at {
		c.Blocked = true
		t.unblock(r)
	}
	return c
}

// Watch makes the next success of a part be reported until a time. It returns the last known success.
func (t *Table) Watch(now namer.Seconds, part Part, until namer.Seconds) namer.Seconds {
	r := t.record(now, part)
	r.watchedUntil = until
	return r.soundAt
}

// Due returns the parts that are suspected enough to be blocked, unless a blocked part or an earlier one in the list
// was present at all their endings. Whole requests go first, since each explains only its own endings, then those with
// more endings, and then the deepest in the prompt, which the fewest requests share.
func (t *Table) Due(now namer.Seconds) []Part {
	var due []*record
	for part, r := range t.candidates {
		if r.block != nil || !r.suspicious() {
			delete(t.candidates, part)
		} else if last := r.endings[len(r.endings)-1].at; (part.Whole() || now >= last+settleTime) && now < last+dueTime {
			due = append(due, r)
		}
	}
	if len(due) == 0 {
		return nil
	}
	slices.SortFunc(due, func(a, b *record) int {
		return cmp.Or(compareWhole(a, b), cmp.Compare(len(b.endings), len(a.endings)), cmp.Compare(b.depth, a.depth), cmp.Compare(a.part, b.part))
	})
	var blocked, chosen []*record
	for _, r := range t.records {
		if r.block != nil {
			blocked = append(blocked, r)
		}
	}
	var parts []Part
	for _, r := range due {
		if !r.part.Whole() && slices.ContainsFunc(blocked, r.explainedBy) {
			delete(t.candidates, r.part) // until its next ending
		} else if r.part.Whole() || !slices.ContainsFunc(chosen, r.explainedBy) {
			chosen = append(chosen, r)
			parts = append(parts, r.part)
		}
	}
	return parts
}

// compareWhole orders whole requests before prompt parts.
func compareWhole(a, b *record) int {
	switch {
	case a.part.Whole() == b.part.Whole():
		return 0
	case a.part.Whole():
		return -1
	}
	return 1
}

// Suspecting reports whether any part may be undecided.
func (t *Table) Suspecting() bool { return len(t.candidates) > 0 }

// Undecided reports whether a request that comes again waits for the verdict on its endings.
func (t *Table) Undecided(now namer.Seconds, part Part) bool {
	r := t.records[part]
	return r != nil && part.Whole() && r.block == nil && r.suspicious() && now < r.endings[len(r.endings)-1].at+undecidedTime
}

// explainedBy reports whether another part was present at all endings of a part.
func (r *record) explainedBy(other *record) bool {
	for _, p := range r.present {
		if !slices.Contains(other.present, p) {
			return false
		}
	}
	return true
}

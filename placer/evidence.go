package placer

import (
	"slices"

	"github.com/pkg/errors"

	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/quarantiner"
)

// Quarantine tells other daemons about suspected prompt parts. Times are sent as ages, since clocks differ.
type Quarantine struct {
	_       struct{} `cbor:",toarray"`
	Endings []EngineEnding
	Asks    []Ask
	Clears  []PartClear
	Blocks  []PartBlock
	Answers []Answer
	Trials  []quarantiner.Part // that the sender has begun
}

// EngineEnding reports the end of an engine's process, with those of the sender's requests that may have caused it.
type EngineEnding struct {
	_        struct{} `cbor:",toarray"`
	Process  quarantiner.Process
	Service  namer.Service
	Age      namer.Seconds
	Suspects []EndingSuspect
}

// EndingSuspect is a request that may have ended an engine.
type EndingSuspect struct {
	_       struct{} `cbor:",toarray"`
	Request quarantiner.Request
	Age     namer.Seconds // since its dispatch
	Parts   []quarantiner.Part
}

// Ask asks for a success of a part since the first ending that counts against it, and for the numbers of requests
// of the service since.
type Ask struct {
	_       struct{} `cbor:",toarray"`
	Part    quarantiner.Part
	Age     namer.Seconds // of that ending
	Service namer.Service
}

// Answer answers an Ask. It comes with a PartClear if there was a success.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Part   quarantiner.Part
	Served int // requests that have succeeded
	Lost   int // requests that were lost with their engines
}

// PartClear reports a success of a part.
type PartClear struct {
	_       struct{} `cbor:",toarray"`
	Part    quarantiner.Part
	Age     namer.Seconds
	Endings int // that counted against it
}

// PartBlock reports a blocked part.
type PartBlock struct {
	_       struct{} `cbor:",toarray"`
	Part    quarantiner.Part
	Level   int
	Age     namer.Seconds
	Left    namer.Seconds // until a trial
	Endings []quarantiner.Process
}

// Limits of the lists in a message.
const (
	maxListed       = 64
	maxSuspectParts = 64
	maxEndings      = 32
	maxAnswered     = 1_000_000 // requests in an answer
)

func (m *Quarantine) check() error {
	if max(len(m.Endings), len(m.Asks), len(m.Clears), len(m.Blocks), len(m.Answers), len(m.Trials)) > maxListed {
		return errors.Errorf("a list has more than %d elements", maxListed)
	}
	for _, e := range m.Endings {
		if err := e.check(); err != nil {
			return err
		}
	}
	for _, a := range m.Asks {
		if err := checkAge(a.Age); err != nil {
			return err
		}
	}
	for _, p := range m.Clears {
		if err := checkAge(p.Age); err != nil {
			return err
		}
		if p.Endings < 0 || p.Endings > maxEndings {
			return errors.Errorf("endings are %d, must be within 0 and %d", p.Endings, maxEndings)
		}
	}
	for _, a := range m.Answers {
		if min(a.Served, a.Lost) < 0 || max(a.Served, a.Lost) > maxAnswered {
			return errors.Errorf("served are %d and lost are %d, must be within 0 and %d", a.Served, a.Lost, maxAnswered)
		}
	}
	for _, b := range m.Blocks {
		if err := checkAge(b.Age); err != nil {
			return err
		}
		if err := checkAge(b.Left); err != nil {
			return err
		}
		if b.Level < 0 || b.Level > quarantiner.MaxLevel || len(b.Endings) > maxEndings {
			return errors.Errorf("level is %d and endings are %d, must be within %d and %d", b.Level, len(b.Endings), quarantiner.MaxLevel, maxEndings)
		}
	}
	return nil
}

func (e *EngineEnding) check() error {
	if len(e.Suspects) > maxListed {
		return errors.Errorf("suspects are %d, must be at most %d", len(e.Suspects), maxListed)
	}
	if err := checkAge(e.Age); err != nil {
		return err
	}
	for _, s := range e.Suspects {
		if len(s.Parts) > maxSuspectParts {
			return errors.Errorf("parts are %d, must be at most %d", len(s.Parts), maxSuspectParts)
		}
		if err := checkAge(s.Age); err != nil {
			return err
		}
	}
	return nil
}

func checkAge(age namer.Seconds) error {
	if age < 0 {
		return errors.Errorf("age is %v s, must not be negative", float64(age))
	}
	return checkTime("age", age)
}

// notice is something that all other daemons have to know. Exactly one of the pointers is set. It is sent several
// times, since datagrams are lost; daemons apply it once.
type notice struct {
	ending  *quarantiner.Ending
	cleared *quarantiner.Cleared
	block   *quarantiner.Block
	trial   *quarantiner.Part
	sent    int
	nextAt  namer.Seconds
}

// noticeDelays are the delays of the repetitions.
var noticeDelays = []namer.Seconds{0.3, 0.7}

const (
	maxNotices = 512
	// maxNoticeRate and maxNoticeBurst limit the datagrams with notices that a daemon sends, per second and at once.
	maxNoticeRate  = 5000.0
	maxNoticeBurst = 1000.0
	// maxNoticeBytes is the encoded size of the notices in a message, which has to fit into a datagram.
	maxNoticeBytes = 1100
)

// outbox holds the notices to send.
type outbox struct {
	notices []notice
	level   float64 // datagrams sent, drained at maxNoticeRate
	drained namer.Seconds
}

// add adds a notice. Over the limit the oldest one is dropped.
func (o *outbox) add(n notice) {
	if len(o.notices) >= maxNotices {
		o.notices = slices.Delete(o.notices, 0, 1)
	}
	o.notices = append(o.notices, n)
}

// addEnding adds an ending, divided into notices that fit into a message each. Each of them takes one suspect at least.
func (o *outbox) addEnding(e quarantiner.Ending) {
	for len(e.Suspects) > 0 {
		part := e
		part.Suspects = nil
		for len(e.Suspects) > 0 && len(part.Suspects) < maxListed {
			part.Suspects = append(part.Suspects, e.Suspects[0])
			n := notice{ending: &part}
			if len(part.Suspects) > 1 && n.size() > maxNoticeBytes {
				part.Suspects = part.Suspects[:len(part.Suspects)-1]
				break
			}
			e.Suspects = e.Suspects[1:]
		}
		o.add(notice{ending: &part})
	}
}

func (o *outbox) allows(now namer.Seconds, datagrams int) bool {
	o.level = max(0, o.level-maxNoticeRate*float64(now-o.drained))
	o.drained = max(now, o.drained)
	if o.level >= maxNoticeBurst {
		return false
	}
	o.level += float64(datagrams)
	return true
}

// next returns a message with the first notices that are due, or nil, and these notices.
func (o *outbox) next(now namer.Seconds) (*Quarantine, []*notice) {
	var sent []*notice
	message, size := &Quarantine{}, 0
	for i := range o.notices {
		n := &o.notices[i]
		if now < n.nextAt || n.sent > len(noticeDelays) {
			continue
		}
		if size += n.size(); len(sent) > 0 && (size > maxNoticeBytes || len(sent) >= maxListed) {
			break
		}
		message.add(now, n)
		sent = append(sent, n)
	}
	if len(sent) == 0 {
		return nil, nil
	}
	return message, sent
}

// sendNotices sends the notices that are due to all other daemons.
func (c *Core) sendNotices(now namer.Seconds) {
	out := &c.quarantine.outbox
	if len(out.notices) == 0 {
		return
	}
	// Each turn sends at least one notice, which is sent noticeDelays+1 times at most.
	for message, sent := out.next(now); message != nil && out.allows(now, len(c.members)-1); message, sent = out.next(now) {
		c.broadcast(Message{Quarantine: message})
		for _, n := range sent {
			if n.sent < len(noticeDelays) {
				n.nextAt = now + noticeDelays[n.sent]
			}
			n.sent++
		}
	}
	out.notices = slices.DeleteFunc(out.notices, func(n notice) bool { return n.sent > len(noticeDelays) })
}

// size estimates the encoded size of a notice in bytes.
func (n *notice) size() int {
	const number = 9
	size := 4 * number
	switch {
	case n.ending != nil:
		size += len(n.ending.Process.Endpoint) + len(n.ending.Service) + 2*number
		for _, s := range n.ending.Suspects {
			size += (3 + len(s.Parts)) * number
		}
	case n.block != nil:
		for _, p := range n.block.Endings {
			size += len(p.Endpoint) + 2*number
		}
	}
	return size
}

// add adds a notice to a message.
func (m *Quarantine) add(now namer.Seconds, n *notice) {
	switch {
	case n.ending != nil:
		e := EngineEnding{Process: n.ending.Process, Service: n.ending.Service, Age: ageOf(now, n.ending.At)}
		for _, s := range n.ending.Suspects {
			e.Suspects = append(e.Suspects, EndingSuspect{Request: s.Request, Age: ageOf(now, s.DispatchedAt), Parts: s.Parts})
		}
		m.Endings = append(m.Endings, e)
	case n.trial != nil:
		m.Trials = append(m.Trials, *n.trial)
	case n.cleared != nil:
		m.Clears = append(m.Clears, PartClear{Part: n.cleared.Part, Age: ageOf(now, n.cleared.At), Endings: n.cleared.Endings})
	case n.block != nil:
		m.Blocks = append(m.Blocks, PartBlock{
			Part: n.block.Part, Level: n.block.Level, Age: ageOf(now, n.block.Since), Left: ageOf(n.block.Until, now), Endings: n.block.Endings,
		})
	}
}

// ageOf returns the time since an event. Events may be a little later than the time of a tick, which waits for its
// turn.
func ageOf(now, at namer.Seconds) namer.Seconds { return min(max(0, now-at), maxMessageTime) }

func (c *Core) broadcast(m Message) {
	for _, member := range c.members {
		if member.Host != c.Self {
			c.send(member.Host, m)
		}
	}
}

// receiveQuarantine applies what another daemon knows about prompt parts.
func (c *Core) receiveQuarantine(now namer.Seconds, from namer.Host, m *Quarantine) {
	table := &c.quarantine.table
	for _, p := range m.Clears {
		cleared := table.Clear(now, quarantiner.Cleared{Part: p.Part, At: now - p.Age, Endings: p.Endings})
		c.reportCleared(cleared)
		if p.Part.Whole() && c.quarantine.asked[p.Part] != nil {
			c.quarantine.outbox.add(notice{cleared: &cleared}) // the others hold it back until they know
			delete(c.quarantine.asked, p.Part)
		}
	}
	for _, part := range m.Trials {
		table.AwaitTrial(now, part)
	}
	for _, e := range m.Endings {
		if c.pools[e.Service] != nil {
			table.RecordEnding(now, e.decode(now))
		}
	}
	for _, b := range m.Blocks {
		block := quarantiner.Block{Part: b.Part, Level: b.Level, Since: now - b.Age, Until: now + b.Left, Endings: b.Endings}
		if table.Merge(now, block) {
			c.reportPart(decider.PromptPartBlocked, b.Part, table.Endings(b.Part), b.Left)
		}
	}
	for _, a := range m.Answers {
		if asked := c.quarantine.asked[a.Part]; asked != nil {
			asked.served += a.Served
			asked.lost += a.Lost
		}
	}
	for _, a := range m.Asks {
		if c.pools[a.Service] != nil {
			c.answer(now, from, a)
		}
	}
	c.decideBlocks(now)
}

func (e *EngineEnding) decode(now namer.Seconds) quarantiner.Ending {
	ending := quarantiner.Ending{Process: e.Process, Service: e.Service, At: now - e.Age}
	for _, s := range e.Suspects {
		ending.Suspects = append(ending.Suspects, quarantiner.Suspect{Request: s.Request, DispatchedAt: now - s.Age, Parts: s.Parts})
	}
	return ending
}

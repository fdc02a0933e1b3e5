package placer

import (
	"math"

	"github.com/pkg/errors"

	"apricotspool/namer"
	"apricotspool/throttler"
)

// maxMessageTime bounds the times in messages.
const maxMessageTime namer.Seconds = 3600

// Check returns an error if a message from another daemon has values that no core sends. The core must not
// receive such a message.
func (m *Message) Check() error {
	if m.ReserveRequest != nil {
		if err := checkTime("budget", m.ReserveRequest.Budget); err != nil {
			return err
		}
		if err := m.ReserveRequest.Work.check(); err != nil {
			return err
		}
	}
	if m.ReserveResponse != nil {
		if err := m.ReserveResponse.Load.check(); err != nil {
			return err
		}
		if err := checkTime("wait", m.ReserveResponse.Wait); err != nil {
			return err
		}
	}
	if m.ProgressUpdate != nil {
		if err := m.ProgressUpdate.Work.check(); err != nil {
			return err
		}
		if a := m.ProgressUpdate.Answer; a != nil {
			if err := a.Check(); err != nil {
				return err
			}
		}
	}
	if m.Pace != nil && m.Pace.Answer != nil {
		if err := m.Pace.Answer.Check(); err != nil {
			return err
		}
	}
	if m.Pause != nil {
		if err := checkTime("length", m.Pause.Length); err != nil {
			return err
		}
	}
	if m.Quarantine != nil {
		if err := m.Quarantine.check(); err != nil {
			return err
		}
	}
	if m.Origins != nil {
		if err := m.Origins.check(); err != nil {
			return err
		}
	}
	for _, notice := range m.limitNotices() {
		if err := notice.check(); err != nil {
			return err
		}
	}
	for i := range m.Loads {
		if err := m.Loads[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (m *Message) limitNotices() []*LimitNotice {
	var notices []*LimitNotice
	add := func(n *LimitNotice) {
		if n != nil {
			notices = append(notices, n)
		}
	}
	add(m.Limit)
	if m.ReserveRequest != nil {
		add(m.ReserveRequest.Limit)
	}
	if m.ReserveResponse != nil {
		add(m.ReserveResponse.Limit)
	}
	if m.Charge != nil {
		add(&m.Charge.Limit)
	}
	return notices
}

func (o *Origins) check() error {
	for i := range o.Known {
		n := &o.Known[i]
		if n.Stream == 0 || n.Build == "" || n.Endpoint == "" {
			return errors.Errorf("origin of stream %x has build %q and endpoint %q, all must be set", n.Stream, n.Build, n.Endpoint)
		}
		if err := checkTime("age", n.Age); err != nil {
			return err
		}
		if err := checkTime("time left", n.Left); err != nil {
			return err
		}
	}
	return nil
}

func (n *LimitNotice) check() error {
	if !throttler.ValidRate(float64(n.Rate)) {
		return errors.Errorf("rate limit is %v, must be finite and not negative", n.Rate)
	}
	for name, age := range map[string]namer.Seconds{"requested age": n.RequestedAge, "received age": n.ReceivedAge} {
		if !(age >= 0) {
			return errors.Errorf("%s is %v s, must not be negative", name, float64(age))
		}
	}
	return nil
}

func (w *Work) check() error {
	if w.Class < 0 || w.Class >= classes {
		return errors.Errorf("class is %d, must be less than %d", w.Class, classes)
	}
	for name, tokens := range map[string]float64{"tokens": w.Tokens, "prefix tokens": w.PrefixTokens} {
		if !isAmount(tokens) {
			return errors.Errorf("%s are %v, must be finite and not negative", name, tokens)
		}
	}
	if err := checkTime("gap", w.Gap); err != nil {
		return err
	}
	return checkTime("until", w.Until)
}

func (l *Load) check() error {
	for name, value := range map[string]float64{"rate": l.Rate, "inflow": l.Inflow} {
		if !isAmount(value) {
			return errors.Errorf("%s is %v, must be finite and not negative", name, value)
		}
	}
	if l.Running < 0 || l.Streams < 0 || l.Generating < 0 {
		return errors.Errorf("running %d, streams %d, generating %d must not be negative", l.Running, l.Streams, l.Generating)
	}
	if l.Pace != nil && (!(l.Pace.Window >= 1) || math.IsInf(l.Pace.Window, 0) || l.Pace.Unanswered < 0) {
		return errors.Errorf("window %v must be finite and at least 1, unanswered %d not negative", l.Pace.Window, l.Pace.Unanswered)
	}
	if err := checkTime("prefix TTL", l.PrefixTTL); err != nil {
		return err
	}
	return checkTime("in progress", l.InProgress)
}

// checkTime checks a time, which may be negative: a deadline that has passed.
func checkTime(name string, t namer.Seconds) error {
	if math.IsNaN(float64(t)) || t < -maxMessageTime || t > maxMessageTime {
		return errors.Errorf("%s is %v s, must be within %v s", name, float64(t), float64(maxMessageTime))
	}
	return nil
}

func isAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

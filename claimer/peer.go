package claimer

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"apricotspool/messenger"
	"apricotspool/namer"
)

// Procedure is the path of the call on the peer listener.
const Procedure = "/peer/claim-state"

// tellLimit bounds one wait at the holder; the asker repeats its question until its own deadline.
const tellLimit = 10 * time.Second

// Question asks a process about a claim that it holds.
type Question struct {
	Holder namer.Process `cbor:"holder"`
	Nonce  string        `cbor:"nonce"`
}

// Reply is the holder's answer. A holder that doesn't know the claim has stored its end, or the
// process that held it is gone.
type Reply struct {
	Known  bool   `cbor:"known"`
	State  state  `cbor:"state"`
	Answer Answer `cbor:"answer,omitzero"`
}

// Tell answers a question about a claim of this process. It waits a limited time for the call to end.
func (c *Claimer) Tell(ctx context.Context, q Question) Reply {
	c.init()
	c.mu.Lock()
	h, ok := c.held[q.Nonce]
	c.mu.Unlock()
	if !ok || q.Holder != c.Process {
		return Reply{}
	}
	select {
	case <-h.ended:
	case <-ctx.Done():
	case <-time.After(tellLimit):
	}
	s, a := h.read()
	return Reply{Known: true, State: s, Answer: a}
}

// Handler serves questions on the peer listener.
func (c *Claimer) Handler() (path string, handler http.Handler) {
	return messenger.Handler(Procedure, func(ctx context.Context, q *Question) (*Reply, error) {
		reply := c.Tell(ctx, *q)
		return &reply, nil
	})
}

// PeerAsker asks holders over their peer listeners.
type PeerAsker struct {
	Client *messenger.Client
}

var _ Asker = PeerAsker{}

// Ask sends one question to the peer address of the holder.
func (p PeerAsker) Ask(ctx context.Context, q Question) (Reply, error) {
	reply, err := messenger.Call[Question, Reply](ctx, p.Client, q.Holder.Address, Procedure, &q)
	if err != nil {
		return Reply{}, errors.Wrapf(err, "ask %s about a claim", q.Holder)
	}
	return *reply, nil
}

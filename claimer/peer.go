package claimer

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"apricotspool/messenger"
	"apricotspool/namer"
)

// Procedure is the path of the state query on the peer listener.
const Procedure = "/peer/claim-state"

// queryWaitLimit bounds one wait at the holder; the querying process retries until its own deadline.
const queryWaitLimit = 10 * time.Second

// StateQuery queries a process for the state of a claim that it holds.
type StateQuery struct {
	Holder namer.Process `cbor:"holder"`
	Nonce  string        `cbor:"nonce"`
}

// StateReply is the response to a StateQuery. If Known is false, the holder has stored the result or
// has exited.
type StateReply struct {
	Known  bool   `cbor:"known"`
	State  state  `cbor:"state"`
	Answer Answer `cbor:"answer,omitzero"`
}

// AnswerQuery answers a query for a claim of this process. It waits up to queryWaitLimit for the call to end.
func (c *Claimer) AnswerQuery(ctx context.Context, q StateQuery) StateReply {
	c.init()
	c.mu.Lock()
	pending, ok := c.pending[q.Nonce]
	c.mu.Unlock()
	if !ok || q.Holder != c.Process {
		return StateReply{}
	}
	select {
	case <-pending.ended:
	case <-ctx.Done():
	case <-time.After(queryWaitLimit):
	}
	s, a := pending.current()
	return StateReply{Known: true, State: s, Answer: a}
}

// Handler returns the handler for state queries on the peer listener.
func (c *Claimer) Handler() (path string, handler http.Handler) {
	return messenger.Handler(Procedure, func(ctx context.Context, q *StateQuery) (*StateReply, error) {
		reply := c.AnswerQuery(ctx, *q)
		return &reply, nil
	})
}

// PeerClient queries holders over their peer listeners.
type PeerClient struct {
	Client *messenger.Client
}

var _ HolderClient = PeerClient{}

// QueryState sends one query to the peer address of the holder.
func (p PeerClient) QueryState(ctx context.Context, q StateQuery) (StateReply, error) {
	reply, err := messenger.Call[StateQuery, StateReply](ctx, p.Client, q.Holder.Address, Procedure, &q)
	if err != nil {
		return StateReply{}, errors.Wrapf(err, "query %s for the state of a claim", q.Holder)
	}
	return *reply, nil
}

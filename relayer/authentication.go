package relayer

import (
	"github.com/pkg/errors"

	"apricotspool/authenticator"
	"apricotspool/classifier"
	"apricotspool/forwarder"
)

// authenticate checks the key of a request on arrival. It refuses the request and returns false if the request must not run.
func (x *exchange) authenticate() bool {
	identity, outcome := x.currentIdentity()
	x.identity, x.workspace = identity, identity.Workspace
	if outcome != "" {
		x.refuse(outcome, 0)
	}
	return outcome == ""
}

// currentIdentity returns the identity of the request's key in the configuration in force, and the outcome that refuses it.
func (x *exchange) currentIdentity() (authenticator.Identity, classifier.Outcome) {
	if x.relayer.Keys == nil {
		return authenticator.Identity{}, ""
	}
	return x.relayer.Keys().Check(x.call.Credentials, x.route.Anonymous)
}

// sendCheck returns the check that is made directly before the first byte of a call, possibly in another goroutine and after
// the call has failed. It reports whether the call must not be sent: the caller has left, or the request's key is no longer
// that of the workspace which the call names.
func (x *exchange) sendCheck() func() bool {
	sent := x.identity
	return func() bool {
		if x.hasLeft() {
			return true
		}
		now, outcome := x.currentIdentity()
		return outcome != "" || now.Authenticated != sent.Authenticated || now.Workspace != sent.Workspace
	}
}

// endIfKeyGone ends the request if its key must not be used any more, and reports whether it did. Otherwise the next call names
// the workspace that now has the key.
func (x *exchange) endIfKeyGone() bool {
	identity, outcome := x.currentIdentity()
	if outcome != "" {
		x.endWithoutAttempt(outcome, 0)
		return true
	}
	x.identity, x.workspace = identity, identity.Workspace
	return false
}

// endIfUnsent ends the request if an attempt wasn't sent because its caller had left or its key had gone, and reports whether
// it did.
func (x *exchange) endIfUnsent(err error) bool {
	return x.endIfLeft(err) || (errors.Is(err, forwarder.ErrAbandoned) && x.endIfKeyGone())
}

// priority returns the request's priority: that of its workspace, or else that of the route.
func (x *exchange) priority() int {
	if x.identity.HasPriority {
		return x.identity.Priority
	}
	return x.route.Priority
}

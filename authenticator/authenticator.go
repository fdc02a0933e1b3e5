// Package authenticator decides which workspace a request belongs to, or why it is refused, from the key that it carries, the
// workspaces of the configuration in force and the time since the store has confirmed that configuration. It is pure: time
// and randomness are passed in.
package authenticator

import (
	"crypto/hmac"
	"crypto/sha256"
	"time"

	"apricotspool/classifier"
	"apricotspool/matcher"
	"apricotspool/namer"
)

// Secret keys the digests of one process. Without it, the time of a look-up says nothing about the keys.
type Secret [sha256.Size]byte

type digest [sha256.Size]byte

// Directory finds workspaces by key. It is immutable and holds no key, only digests.
type Directory struct {
	secret     Secret
	workspaces map[digest]workspace
	count      int // workspaces, with and without keys
	shared     int // keys that several workspaces have
}

type workspace struct {
	name        namer.Caller
	priority    int
	hasPriority bool
}

// NewDirectory returns the directory of the workspaces. A key that several of them have belongs to the first.
func NewDirectory(secret Secret, workspaces []matcher.Workspace) *Directory {
	d := &Directory{secret: secret, workspaces: map[digest]workspace{}, count: len(workspaces)}
	for _, w := range workspaces {
		for _, key := range w.Keys {
			at := d.digest(key)
			if owner, taken := d.workspaces[at]; !taken {
				d.workspaces[at] = workspace{w.Name, w.Priority, w.HasPriority}
			} else if owner.name != w.Name {
				d.shared++
			}
		}
	}
	return d
}

// Workspaces returns the number of workspaces. Requests need no key if it is 0.
func (d *Directory) Workspaces() int { return d.count }

// SharedKeys returns the number of times that a workspace has a key of another one.
func (d *Directory) SharedKeys() int { return d.shared }

func (d *Directory) digest(key matcher.Key) digest {
	mac := hmac.New(sha256.New, d.secret[:])
	mac.Write([]byte(key)) // never fails
	return digest(mac.Sum(nil))
}

// find returns the workspace of a request's only key.
func (d *Directory) find(credentials []matcher.Key) (workspace, bool) {
	if len(credentials) != 1 {
		return workspace{}, false
	}
	found, known := d.workspaces[d.digest(credentials[0])]
	return found, known
}

// safety is the part of the revocation bound in which keys are used. The rest covers clocks that run at different rates:
// the age of a configuration may have been measured by several daemons in turn.
const safety = 0.95

// Bounds limit the age of the configuration that keys are checked against.
type Bounds struct {
	// Revocation is the time after its withdrawal within which a key must not be used any more; 0 means no limit.
	Revocation time.Duration
	// Staleness is the age up to which a configuration contains every key that is in use.
	Staleness time.Duration
}

// View is what a daemon knows of the workspaces at an instant.
type View struct {
	Directory *Directory // nil before the first configuration
	// Age is the time since the store has confirmed that Directory is that of the newest configuration; meaningful if
	// Confirmed is set.
	Age       time.Duration
	Confirmed bool
	Bounds    Bounds
}

// Enabled reports whether requests need keys.
func (v View) Enabled() bool { return v.Directory != nil && v.Directory.count > 0 }

// Current reports whether keys may be used.
func (v View) Current() bool {
	if !v.Enabled() || v.Bounds.Revocation <= 0 {
		return true
	}
	return v.Confirmed && v.Age <= time.Duration(safety*float64(v.Bounds.Revocation))
}

// Identity is the workspace of a request.
type Identity struct {
	// Authenticated is set if the deployment has workspaces, so that keys are checked and kept from endpoints.
	Authenticated bool
	Workspace     namer.Caller // empty for none
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Check returns the identity of a request with the given credentials, and the outcome that refuses it, or none. Requests of
// anonymous routes are never refused. The identity of a refused request names its workspace only for logs.
func (v View) Check(credentials []matcher.Key, anonymous bool) (Identity, classifier.Outcome) {
	if !v.Enabled() {
		return Identity{}, ""
	}
	found, known := v.Directory.find(credentials)
	switch {
	case known && v.Current():
		return Identity{true, found.name, found.priority, found.hasPriority}, ""
	case anonymous:
		return Identity{Authenticated: true}, ""
	case known, !v.Confirmed, v.Age > v.Bounds.Staleness: // the key may have been withdrawn or added since
		return Identity{Authenticated: true, Workspace: found.name}, classifier.KeysNotCurrent
	}
	return Identity{Authenticated: true}, classifier.Unauthenticated
}

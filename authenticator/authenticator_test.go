package authenticator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/authenticator"
	"apricotspool/classifier"
	"apricotspool/matcher"
	"apricotspool/namer"
)

var workspaces = []matcher.Workspace{
	{Name: "a", Keys: []matcher.Key{"key-a1", "key-a2"}},
	{Name: "b", Keys: []matcher.Key{"key-b", "key-a1"}, Priority: 0, HasPriority: true},
}

func view(age time.Duration) authenticator.View {
	return authenticator.View{
		Directory: authenticator.NewDirectory(authenticator.Secret{1}, workspaces), Age: age, Confirmed: true,
		Bounds: authenticator.Bounds{Revocation: 5 * time.Second, Staleness: 3 * time.Second},
	}
}

// Guards against a key that is used past the revocation bound, an unknown key that an old replica calls unknown for certain,
// and a request that runs without a key or with two.
func TestCheck(t *testing.T) {
	unconfirmed := view(0)
	unconfirmed.Confirmed = false
	unbounded := view(time.Hour)
	unbounded.Bounds.Revocation = 0
	for name, c := range map[string]struct {
		view      authenticator.View
		keys      []matcher.Key
		anonymous bool
		workspace namer.Caller
		outcome   classifier.Outcome
	}{
		"known":                        {view(0), []matcher.Key{"key-a2"}, false, "a", ""},
		"key of two workspaces":        {view(0), []matcher.Key{"key-a1"}, false, "a", ""},
		"just within the bound":        {view(4700 * time.Millisecond), []matcher.Key{"key-b"}, false, "b", ""},
		"clock tolerance of the bound": {view(4800 * time.Millisecond), []matcher.Key{"key-b"}, false, "b", classifier.KeysNotCurrent},
		"past the bound":               {view(time.Hour), []matcher.Key{"key-b"}, false, "b", classifier.KeysNotCurrent},
		"without a bound":              {unbounded, []matcher.Key{"key-b"}, false, "b", ""},
		"never confirmed":              {unconfirmed, []matcher.Key{"key-b"}, false, "b", classifier.KeysNotCurrent},
		"unknown":                      {view(3 * time.Second), []matcher.Key{"key-c"}, false, "", classifier.Unauthenticated},
		"unknown, old replica":         {view(3001 * time.Millisecond), []matcher.Key{"key-c"}, false, "", classifier.KeysNotCurrent},
		"unknown, never confirmed":     {unconfirmed, []matcher.Key{"key-c"}, false, "", classifier.KeysNotCurrent},
		"none":                         {view(0), nil, false, "", classifier.Unauthenticated},
		"empty":                        {view(0), []matcher.Key{""}, false, "", classifier.Unauthenticated},
		"two":                          {view(0), []matcher.Key{"key-a1", "key-a1"}, false, "", classifier.Unauthenticated},
		"key in a list":                {view(0), []matcher.Key{"key-a1,key-a1"}, false, "", classifier.Unauthenticated},
		"anonymous, known":             {view(0), []matcher.Key{"key-b"}, true, "b", ""},
		"anonymous, unknown":           {view(0), []matcher.Key{"key-c"}, true, "", ""},
		"anonymous, none":              {view(time.Hour), nil, true, "", ""},
		"anonymous, past the bound":    {view(time.Hour), []matcher.Key{"key-b"}, true, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			identity, outcome := c.view.Check(c.keys, c.anonymous)
			is.Equal(outcome, c.outcome)
			is.Equal(identity.Workspace, c.workspace)
			is.True(identity.Authenticated)
			is.Equal(identity.HasPriority, outcome == "" && c.workspace == "b")
		})
	}
}

// Guards against deployments without workspaces that suddenly need keys, or whose daemons are not ready without a confirmation.
func TestWithoutWorkspaces(t *testing.T) {
	is := is.New(t)
	for _, v := range []authenticator.View{{}, {Directory: authenticator.NewDirectory(authenticator.Secret{}, nil), Bounds: view(0).Bounds}} {
		identity, outcome := v.Check([]matcher.Key{"x"}, false)
		is.Equal(identity, authenticator.Identity{})
		is.Equal(outcome, classifier.Outcome(""))
		is.True(v.Current())
	}
	is.True(!view(5 * time.Second).Current())
}

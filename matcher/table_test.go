package matcher_test

import (
	"testing"

	"github.com/matryer/is"

	"apricotspool/matcher"
	"apricotspool/namer"
)

func table(routes ...matcher.Route) *matcher.Table {
	return matcher.New(1, routes, nil, matcher.Limits{})
}

// Guards against a request that matches a shorter prefix, a route of another host, or no route.
func TestMatchLongestPrefixOfHost(t *testing.T) {
	routes := table(
		matcher.Route{Name: "root", Host: "a.example", Prefix: "/"},
		matcher.Route{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		matcher.Route{Name: "middle", Host: "A.example", Prefix: "/x/"},
		matcher.Route{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	)
	for _, c := range []struct {
		host, path string
		want       namer.Route
	}{
		{"a.example", "/x/y/1", "deep"},
		{"a.example:8080", "/x/y/z/1", "deep"},
		{"A.EXAMPLE", "/x/1", "middle"},
		{"a.example", "/x", "root"},
		{"a.example", "/xy/", "root"},
		{"b.example", "/x/y/z/", "other"},
		{"b.example", "/x/y/", ""},
		{"c.example", "/x/", ""},
		{"", "/x/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			route, found := routes.Match(c.host, c.path)
			is.Equal(found, c.want != "")
			if found {
				is.Equal(route.Name, c.want)
			}
		})
	}
}

// Guards against retries of requests that may run only once.
func TestRepeatable(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		route matcher.Route
		want  bool
	}{
		{matcher.Route{Kind: matcher.Safe}, true},
		{matcher.Route{Kind: matcher.Unsafe}, false},
		{matcher.Route{Kind: matcher.Unsafe, Resumable: true}, false},
		{matcher.Route{Kind: matcher.Stream}, false},
		{matcher.Route{Kind: matcher.Stream, Resumable: true}, true},
	} {
		is.Equal(c.route.Repeatable(), c.want)
	}
}

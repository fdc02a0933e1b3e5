package configurer_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/configurer"
	"apricotspool/namer"
)

const baseDocument = `{
 "data-centres": {"a1": {"region": "a", "distances": {"a2": "1ms"}}, "a2": {"region": "a"}, "b1": {"region": "b"}},
 "models": {"m": {"version": "1", "context": 64000}},
 "services": {
  "chat": {"kind": "model", "models": ["m"], "deadline": "60s", "ranks": {"urgent": {"order": 0, "first-token": "1400ms", "between-tokens": "44ms", "share": 0.5}}},
  "orders": {"kind": "plain", "deadline": "10s", "ranks": {"urgent": {"order": 0, "first-token": "1s", "share": 1}},
   "non-idempotent": [{"method": "POST", "path": "/orders/"}, {"method": "*", "path": "/charge"}]}},
 "callers": {"fitters": {"token-sha256": "%s", "rank": "urgent", "services": ["chat", "orders"]}},
 "endpoints": {"e1": {"service": "chat", "address": "10.0.0.1:80", "data-centre": "a1", "models": ["m"], "role": "mixed"},
  "o1": {"service": "orders", "address": "10.0.0.2:80", "data-centre": "a2"}}}`

func document(t testing.TB) *configurer.Document {
	t.Helper()
	d, err := configurer.Parse(fmt.Appendf(nil, baseDocument, fmt.Sprintf("%X", configurer.HashToken("secret"))))
	is.New(t).NoErr(err)
	return d
}

// Guards against documents with more than one encoding, whose digests would differ between daemons.
func TestEqualDocumentsHaveEqualBytes(t *testing.T) {
	is := is.New(t)
	first := document(t)
	again, err := configurer.Parse(first.Encode())
	is.NoErr(err)
	is.Equal(string(first.Encode()), string(again.Encode()))
	is.True(reflect.DeepEqual(first, again))
	explicit, err := first.Apply([]byte(`{"data-centres":{"a2":{"distances":{}}},"services":{"chat":{"ranks":{"urgent":{"first-token":"1.4s","queue-limit":0}}}},"callers":{"fitters":{"weight":0}}}`))
	is.NoErr(err)
	is.Equal(string(first.Encode()), string(explicit.Encode())) // explicit values that equal the default
}

// Guards against accepting a patch that is invalid or leads to an invalid document.
func TestApplyRejects(t *testing.T) {
	for _, c := range []struct{ name, patch, fault string }{
		{"not JSON", `{`, "unexpected EOF"},
		{"not an object", `[]`, "a merge patch must be an object"},
		{"null for the document", `null`, "a merge patch must be an object"},
		{"a duplicate name", `{"callers":{"x":null,"x":{}}}`, "duplicate"},
		{"an unknown field", `{"caller":{}}`, "unknown field"},
		{"a missing reference", `{"services":{"chat":null}}`, "service does not exist"},
		{"a wrong value", `{"endpoints":{"e1":{"address":"10.0.0.1"}}}`, "/endpoints/e1/address"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := document(t)
			before := string(d.Encode())
			_, err := d.Apply([]byte(c.patch))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.fault)) // err contains the fault
			is.Equal(string(d.Encode()), before)
		})
	}
}

// mergePatch implements RFC 7396, section 2, on decoded values.
func mergePatch(target, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	object, ok := target.(map[string]any)
	if !ok {
		object = map[string]any{}
	}
	merged := maps.Clone(object)
	for name, value := range changes {
		if value == nil {
			delete(merged, name)
			continue
		}
		merged[name] = mergePatch(merged[name], value)
	}
	return merged
}

func callerPatch(t *rapid.T) map[string]any {
	callers := map[string]any{}
	for _, i := range rapid.SliceOfN(rapid.IntRange(0, 6), 0, 5).Draw(t, "callers") {
		name := fmt.Sprintf("c%d", i)
		switch rapid.IntRange(0, 2).Draw(t, "change") {
		case 0:
			callers[name] = nil
		case 1:
			callers[name] = map[string]any{"token-sha256": fmt.Sprintf("%064x", i), "rank": "urgent", "services": []any{"chat"}, "weight": rapid.IntRange(0, 9).Draw(t, "weight")}
		case 2:
			callers[name] = map[string]any{"weight": nil, "token-sha256": fmt.Sprintf("%064x", i), "rank": "urgent", "services": []any{"orders", "chat"}}
		}
	}
	return map[string]any{"callers": callers}
}

// Guards against a patch library or encoding that deviates from RFC 7396, and against a Diff that omits a
// change, reports an unchanged value or a path outside the patch.
func TestApplyAndDiffFollowRFC7396(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		before, err := configurer.Parse(fmt.Appendf(nil, baseDocument, strings.Repeat("ab", 32)))
		is.NoErr(err)
		for range rapid.IntRange(1, 4).Draw(t, "patches") {
			patch, err := json.Marshal(callerPatch(t))
			is.NoErr(err)
			var target, change any
			is.NoErr(json.Unmarshal(before.Encode(), &target))
			is.NoErr(json.Unmarshal(patch, &change))
			wanted, err := json.Marshal(mergePatch(target, change))
			is.NoErr(err)
			want, err := configurer.Parse(wanted)
			is.NoErr(err)
			after, err := before.Apply(patch)
			is.NoErr(err)
			is.Equal(string(after.Encode()), string(want.Encode()))
			is.Equal(len(configurer.Diff(before, after)) == 0, string(before.Encode()) == string(after.Encode()))
			for _, c := range configurer.Diff(before, after) {
				is.True(strings.HasPrefix(c.Path, "/callers/c"))
				is.True(c.Before != c.After)
			}
			before = after
		}
	})
}

// Guards against unreadable changes and against wrong paths in them.
func TestDiffLines(t *testing.T) {
	is := is.New(t)
	before := document(t)
	after, err := before.Apply([]byte(`{"endpoints":{"o1":null,"e1":{"state":"draining"}},"data-centres":{"b2":{"region":"b"}},"services":{"chat":{"deadline":"1m5s"}}}`))
	is.NoErr(err)
	var lines []string
	for _, c := range configurer.Diff(before, after) {
		lines = append(lines, c.String())
	}
	is.Equal(lines, []string{
		`/data-centres/b2: added {"region":"b"}`,
		`/endpoints/e1/state: added "draining"`,
		`/endpoints/o1: removed {"service":"orders","address":"10.0.0.2:80","data-centre":"a2"}`,
		`/services/chat/deadline: "1m0s" -> "1m5s"`,
	})
}

// Guards against wrong lookups of tokens, models, distances and non-idempotent calls.
func TestSnapshotIndexes(t *testing.T) {
	is := is.New(t)
	s := configurer.NewSnapshot(7, document(t))
	name, caller, ok := s.Caller(configurer.HashToken("secret"))
	is.True(ok)
	is.Equal(name, namer.Caller("fitters"))
	is.Equal(caller.Rank, namer.Rank("urgent"))
	_, _, ok = s.Caller(configurer.HashToken("other"))
	is.True(!ok)
	is.Equal(s.Endpoints("chat"), []namer.Endpoint{"e1"})
	is.Equal(s.Engines("chat", "m"), []namer.Endpoint{"e1"})
	is.True(s.Offers("chat", "m") && !s.Offers("orders", "m"))
	is.Equal(s.Distance("a2", "a1"), time.Millisecond)
	is.Equal(s.Distance("a1", "b1"), configurer.DefaultRegionDistance)
	for path, want := range map[string]bool{
		"/orders/": true, "/orders/12": true, "/orders": false, "/charge": true, "/charge/1": false, "/catalogue": false,
		"/catalogue/../orders/1": true, "//orders//1": true, "/x/../charge": true,
	} {
		is.Equal(s.NonIdempotent("orders", "POST", path), want) // for each path
	}
	is.True(!s.NonIdempotent("orders", "GET", "/orders/1"))
	is.True(s.NonIdempotent("orders", "GET", "/charge"))
}

// BenchmarkApply measures one configuration change at the design size.
func BenchmarkApply(b *testing.B) {
	is := is.New(b)
	callers, endpoints := map[string]any{}, map[string]any{}
	for i := range 2700 {
		callers[fmt.Sprintf("workspace-%04d", i)] = map[string]any{"token-sha256": fmt.Sprintf("%x", configurer.HashToken(fmt.Sprint(i))), "rank": "urgent", "services": []any{"chat"}}
	}
	for i := range 1600 {
		endpoints[fmt.Sprintf("engine-%04d", i)] = map[string]any{"service": "chat", "address": fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), "data-centre": "a1", "models": []any{"m"}}
	}
	patch, err := json.Marshal(map[string]any{"callers": callers, "endpoints": endpoints})
	is.NoErr(err)
	d, err := document(b).Apply(patch)
	is.NoErr(err)
	b.ReportMetric(float64(len(d.Encode())), "bytes")
	for b.Loop() {
		after, err := d.Apply([]byte(`{"callers":{"workspace-0001":{"weight":2}}}`))
		is.NoErr(err)
		configurer.NewSnapshot(2, after)
	}
}

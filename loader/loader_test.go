package loader_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/decoder"
	"apricotspool/loader"
)

// writeFile creates a file in a temporary directory of the test and returns its path.
func writeFile(t testing.TB, name, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	is.New(t).NoErr(os.WriteFile(file, []byte(content), 0o600))
	return file
}

func validSettings(t testing.TB) string {
	return fmt.Sprintf(`{
		"host": "entry-1", "data-centre": "a",
		"callers": {"address": "127.0.0.1:8080"},
		"operators": {"address": "127.0.0.1:8081", "token-file": %q},
		"peers": {"address": "127.0.0.1:8082"},
		"platform": {"object-api": "127.0.0.1:7000"},
		"signing-key-files": [%q]
	}`, writeFile(t, "operators.token", "secret"), writeFile(t, "signing.key", strings.Repeat("k", loader.MinSigningKeyBytes)))
}

func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := loader.Parse([]byte(validSettings(t)))
	is.NoErr(err)
	is.Equal(s.Drain.Notice.Std(), 5*time.Second)
	is.Equal(s.Limits.HeaderBytes, 64<<10)
	is.Equal(s.LogLevel, "info")
}

// Guards against a check that stops at the first fault or reports a fault without its path.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := loader.Parse([]byte(`{
		"host": "bad name", "colour": 1, "log-level": "loud",
		"callers": {"address": "localhost:80", "token-file": "x"},
		"operators": {"address": "127.0.0.1:8081"},
		"peers": {"address": "127.0.0.1:8081", "tls": {"certificate-file": "/nowhere"}},
		"drain": {"notice": "5", "limit": "-1s"}
	}`))
	var faults decoder.Faults
	is.True(errors.As(err, &faults))
	var paths []string
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	for _, want := range []string{
		"/host", "/colour", "/log-level", "/callers/address", "/callers/token-file", "/data-centre",
		"/operators/token-file", "/peers/address", "/peers/tls/certificate-file", "/peers/tls/key-file",
		"/peers/tls/client-authority-file", "/drain/notice", "/drain/limit", "/platform/object-api", "/signing-key-files",
	} {
		if !slices.Contains(paths, want) {
			t.Errorf("no fault at %s in %v", want, paths)
		}
	}
}

func TestDuplicateFieldIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := loader.Parse([]byte(`{"host": "a", "host": "b"}`))
	is.True(err != nil && strings.Contains(err.Error(), "duplicate")) // the last value would win silently
}

// Guards against a reference page that omits a field or describes one that does not exist.
func TestReferencePageMatchesSettings(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/settings.md")
	is.NoErr(err)
	daemon, gateway, found := strings.Cut(string(page), "\n# Settings of a gateway\n")
	is.True(found)
	documented := func(text string) string {
		var paths []string
		for _, row := range regexp.MustCompile("(?m)^\\| `(/[^`]*)` \\|").FindAllStringSubmatch(text, -1) {
			paths = append(paths, row[1])
		}
		return strings.Join(paths, "\n")
	}
	is.Equal(documented(daemon), strings.Join(decoder.FieldPaths(loader.Settings{}), "\n"))
	is.Equal(documented(gateway), strings.Join(decoder.FieldPaths(loader.GatewaySettings{}), "\n"))
}

// Guards against a parser that panics or accepts settings that Check rejects.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings(f)))
	f.Add([]byte(`{"seeds": ["127.0.0.1:1", null, 7], "limits": {"requests": 1e99}}`))
	f.Add([]byte(`{"drain": {"notice": "999999h"}}`))
	f.Add([]byte("{\"host\": \"\xff\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := loader.Parse(data)
		if err == nil && s.Check().Err() != nil {
			t.Errorf("accepted settings have faults: %v", s.Check())
		}
	})
}

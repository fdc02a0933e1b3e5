package configurer_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"apricotspool/configurer"
	"apricotspool/decoder"
)

// Guards against a reference page that omits a field or describes one that does not exist.
func TestReferencePageMatchesDocument(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/configuration.md")
	is.NoErr(err)
	var documented []string
	for _, row := range regexp.MustCompile("(?m)^\\| `(/[^`]*)` \\|").FindAllSubmatch(page, -1) {
		documented = append(documented, string(row[1]))
	}
	is.Equal(strings.Join(documented, "\n"), strings.Join(decoder.FieldPaths(configurer.Document{}), "\n"))
}

package classifier_test

import (
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"apricotspool/classifier"
)

// Guards against outcomes that docs/callers.md does not describe or describes differently.
func TestCallersPageListsEveryOutcome(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/callers.md")
	is.NoErr(err)
	for _, o := range classifier.Outcomes() {
		if !strings.Contains(string(page), classifier.Row(o)+"\n") {
			t.Errorf("docs/callers.md lacks or contradicts: %s", classifier.Row(o))
		}
	}
}

// Guards against a Retry-After on outcomes of requests that may have run.
func TestRetryIsAdvisedOnlyWhenNothingRan(t *testing.T) {
	for _, o := range classifier.Outcomes() {
		class := o.Class()
		if class.Retry && class.Execution != classifier.NotRun {
			t.Errorf("%s advises a retry although the execution is %s", o, class.Execution)
		}
		if (o == classifier.Served) != (class.Status < http.StatusBadRequest) {
			t.Errorf("%s has status %d", o, class.Status)
		}
	}
}

package recorder_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/namer"
	"apricotspool/recorder"
)

// Guards against metrics that grow with the number of workspaces.
func TestWorkspaceLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	m := recorder.NewMetrics()
	for i := range 1000 {
		for _, outcome := range classifier.Outcomes() {
			m.Workspace(namer.Caller(fmt.Sprintf("w-%d", i)), outcome)
		}
	}
	m.Workspace("w-0", classifier.Served)
	m.Workspace("w-0", classifier.KeysNotCurrent)
	var text bytes.Buffer
	m.Write(&text)
	is.Equal(strings.Count(text.String(), "apricotspool_workspace_requests_total{"), 3*129)
	is.True(strings.Contains(text.String(), `apricotspool_workspace_requests_total{workspace="w-0",result="served"} 2`))
	is.True(strings.Contains(text.String(), `apricotspool_workspace_requests_total{workspace="_other",result="served"} 872`))
}

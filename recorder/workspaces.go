package recorder

import (
	"fmt"
	"sync"

	"apricotspool/classifier"
	"apricotspool/namer"
)

const (
	// maxWorkspaceLabels bounds the workspaces that have counters of their own.
	maxWorkspaceLabels = 128
	// otherWorkspaces is the label of all others. No workspace can have this name.
	otherWorkspaces = "_other"
)

// workspaceLabels gives the first workspaces of a process labels of their own.
type workspaceLabels struct {
	mu    sync.Mutex // guards known
	known map[namer.Caller]bool
}

func (l *workspaceLabels) label(name namer.Caller) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[name] {
		if len(l.known) >= maxWorkspaceLabels {
			return otherWorkspaces
		}
		if l.known == nil {
			l.known = map[namer.Caller]bool{}
		}
		l.known[name] = true
	}
	return string(name)
}

// Workspace counts the outcome of one request of a workspace, by whether the request was served, refused without being run, or
// failed.
func (m *Metrics) Workspace(name namer.Caller, o classifier.Outcome) {
	result := "failed"
	switch {
	case o == classifier.Served:
		result = "served"
	case o.Class().Execution == classifier.NotRun:
		result = "refused"
	}
	m.Counter(fmt.Sprintf(`apricotspool_workspace_requests_total{workspace=%q,result=%q}`, m.workspaces.label(name), result)).Inc()
}

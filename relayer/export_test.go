package relayer

import (
	"net/http"
	"time"

	"apricotspool/inspector"
	"apricotspool/namer"
)

// ServeAs serves a request as one of a workspace.
func (r *Relayer) ServeAs(workspace namer.Caller, w http.ResponseWriter, request *http.Request) {
	x := &exchange{
		relayer: r, w: w, r: request, startTime: time.Now(), call: r.Dialect.Decode(request.Header), connection: inspector.Of(request.Context()),
		workspace: workspace,
	}
	if x.inspectArrival() && x.prepare() {
		x.serve()
	}
	if x.abort {
		panic(http.ErrAbortHandler)
	}
}

package assembler

import (
	"net/http"
	"runtime/debug"

	"apricotspool/accountant"
	"apricotspool/forwarder"
	"apricotspool/inspector"
	"apricotspool/loader"
	"apricotspool/matcher"
	"apricotspool/recorder"
)

// Shares of the memory limit of a process.
const (
	// programBytes is what a process holds that the garbage collector doesn't count: the pages of its program.
	programBytes = 14e6
	// stateBytes is what a process holds besides what it holds for callers: tables, views of the fleet and logs.
	stateBytes = 18e6
	// heldShare is the part of the rest that may be held for callers. What has been given back and hasn't been collected
	// yet takes the other part, and what the kernel has received.
	heldShare = 0.5
	// collectedShare is the part of the memory limit that the garbage collector may use, besides programBytes. The rest is
	// for the kernel's buffers.
	collectedShare = 0.85
	// reservedDescriptors is the number of descriptors that remain for files and listeners.
	reservedDescriptors = 200
	// Shares of the other descriptors. A request needs a connection to its caller and one to an endpoint; an endpoint's is
	// kept longer. The rest is for other daemons, the store and health checks.
	callersShare   = 0.45
	endpointsShare = 0.5
	// endpointReceiveBuffer bounds what the kernel receives of an answer that its caller reads slowly.
	endpointReceiveBuffer = 64 << 10
)

// sockets returns the number of descriptors for connections.
func sockets(descriptors float64) float64 {
	return max(descriptors/2, descriptors-reservedDescriptors)
}

// newBudget returns the limits on what a process holds for callers. A limit that isn't set is 0.
func newBudget(memoryMB, descriptors float64, metrics *recorder.Metrics) *inspector.Budget {
	b := &inspector.Budget{OnRefused: func(kind accountant.Kind) {
		metrics.Counter(`apricotspool_memory_refusals_total{kind="` + accountant.Kinds[kind] + `"}`).Inc()
	}}
	if memoryMB > 0 {
		memory := memoryMB * 1e6
		b.Bytes = int64(max(memory/8, (memory-programBytes-stateBytes)*heldShare))
	}
	if descriptors > 0 {
		b.Connections = max(1, int(sockets(descriptors)*callersShare))
	}
	for kind, name := range accountant.Kinds {
		metrics.Gauge(`apricotspool_memory_held_bytes{kind="`+name+`"}`, func() float64 { return float64(b.Usage(accountant.Kind(kind))) })
	}
	metrics.Gauge("apricotspool_caller_connections", func() float64 { return float64(b.Open()) })
	return b
}

// limitCollector sets the limit of the garbage collector.
func limitCollector(memoryMB float64) {
	if memoryMB > 0 {
		memory := memoryMB * 1e6
		debug.SetMemoryLimit(int64(max(memory/2, memory*collectedShare-programBytes)))
	}
}

// callersBudget returns the budget of the gateway's callers.
func (g *Gateway) callersBudget() *inspector.Budget {
	b := newBudget(g.Settings.MemoryMB, g.Settings.Descriptors, g.metrics)
	b.HeadBytes = func() int { return headBytes(g.activator.Table()) }
	return b
}

// newEndpointsClient returns the client for calls to endpoints.
func (g *Gateway) newEndpointsClient() *forwarder.Client {
	client := &forwarder.Client{EchoHeader: g.Platform.EchoHeader}
	if g.Settings.MemoryMB > 0 {
		client.ReceiveBuffer = endpointReceiveBuffer
	}
	if g.Settings.Descriptors > 0 {
		client.MaxOpen = max(1, int(sockets(g.Settings.Descriptors)*endpointsShare))
	}
	return client
}

func headBytes(table *matcher.Table) int {
	if table == nil {
		return 0
	}
	return table.Limits.HeaderBytes
}

// newCallersServer returns the server for callers.
func (g *Gateway) newCallersServer() *http.Server {
	return &http.Server{
		Handler: g.relayer, MaxHeaderBytes: loader.MaxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnContext: inspector.ConnContext,
		ConnState: inspector.ConnState,
	}
}

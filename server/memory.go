package server

import (
	"apricotspool/accountant"
	"apricotspool/inspector"
)

// parsedCopies is how often a completion's body is held besides the received bytes: the values of its members, and the body
// for the engine.
const parsedCopies = 2

// memory is what a request holds on its caller's connection.
type memory struct {
	connection *inspector.Connection
	shared     bool // with other requests, as with HTTP/2
	body       int64
}

// admit takes the memory for a request whose head has been read, and reports whether there is any.
func (x *exchange) admit() bool {
	x.memory = memory{connection: inspector.Of(x.r.Context()), shared: x.r.ProtoMajor > 1}
	if x.memory.shared {
		return x.memory.connection.StartShared()
	}
	return x.memory.connection.StartRequest(len(x.r.Header)) && (x.r.ContentLength != 0 || x.memory.connection.Keep())
}

// release gives back the memory of a request that shares its connection. The others' is given back when the connection is idle.
func (x *exchange) release() {
	if x.memory.shared {
		x.memory.connection.EndShared(x.memory.body)
	}
}

// receiveBody reads the body. A request whose body has been read keeps its memory.
func (x *exchange) receiveBody(limit int64) ([]byte, error) {
	body, err := x.memory.connection.ReadBody(x.w, x.r, limit)
	x.memory.body += int64(cap(body))
	if err == nil && !x.memory.connection.Keep() {
		return nil, inspector.ErrNoMemory
	}
	return body, err
}

// reserve takes memory for copies of the body.
func (x *exchange) reserve(bytes int64) bool {
	if !x.memory.connection.Reserve(accountant.Body, bytes) {
		return false
	}
	x.memory.body += bytes
	return true
}

// Package receiver reads HTTP/1.1 responses from endpoints that may be in trouble. It tells a whole response from one that
// broke off, and refuses those whose heads don't have the form that the protocol allows.
//
// Package forwarder calls ReadResponse on a Conn. Clients of net/http are made with NewClient.
//
// One goroutine may read from a Conn while another writes to it.
package receiver

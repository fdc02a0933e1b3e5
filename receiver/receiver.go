// Package receiver reads HTTP/1.1 responses from endpoints that may be in trouble. It tells a whole response from one that
// broke off.
//
// A Conn is used by one reader and one writer at a time, like the connection that it wraps.
package receiver

package inspector_test

import (
	"net"
	"testing"

	"apricotspool/inspector"
)

// BenchmarkInspect measures a look at a caller's connection.
func BenchmarkInspect(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer caller.Close()
	accepted, err := listener.Accept()
	if err != nil {
		b.Fatal(err)
	}
	defer accepted.Close()
	connection := inspector.New(accepted)
	for b.Loop() {
		if connection.Inspect().Left {
			b.Fatal("the caller has left")
		}
	}
}

// Command standin serves one fake of the platform's services for tests on loopback:
//
//	standin store --address 127.0.0.1:9001
//	standin engine --address 127.0.0.1:9002 --interval 10ms
//	standin service --address 127.0.0.1:9003
//	standin hosts --address 127.0.0.1:9004 --file hosts.json
//
// It prints one line of key=value pairs when it is listening and stops on SIGINT or SIGTERM.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(arguments []string) error {
	app := kingpin.New("standin", "Serves one fake of the platform's services.")
	handlers := handlerBuilders{}
	address := app.Flag("address", "IP address and TCP port to listen on; port 0 selects a free port.").Default("127.0.0.1:0").String()
	addStore(app, handlers)
	addEngine(app, handlers)
	addService(app, handlers)
	addHosts(app, handlers)
	kind, err := app.Parse(arguments)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	handler, err := handlers[kind]()
	if err != nil {
		return err
	}
	return serve(ctx, kind, *address, handler)
}

// handlerBuilders maps each subcommand to the function that creates its HTTP handler from the parsed flags.
type handlerBuilders map[string]func() (http.Handler, error)

func serve(ctx context.Context, kind, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Printf("standin=%s address=%s\n", kind, listener.Addr())
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return errors.Wrap(err, "serve")
	}
	return nil
}

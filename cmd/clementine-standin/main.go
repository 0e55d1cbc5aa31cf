// Command clementine-standin runs a small stand-in for a system around the
// fleet: the platform's services, a model engine or a plain service. It
// exits with 0 after a graceful shutdown, 1 on a failure and 2 on wrong usage.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/clementineturn/clementineturn/clemevent"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const (
	headerTimeout = 10 * time.Second
	// drainTimeout bounds the end of running requests at shutdown.
	drainTimeout = 30 * time.Second
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	o, err := parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	z, err := zap.NewProduction()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	log := clemevent.New(z).With(zap.String("role", o.role), zap.String("name", o.name))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx, o, log); err != nil {
		log.Emit(clemevent.ProcessFailed, zap.Error(err))
		return exitFailure
	}
	log.Emit(clemevent.ProcessStopped)
	return exitOK
}

// serve answers requests until the context ends, then lets the running ones end.
func serve(ctx context.Context, o *options, log *clemevent.Logger) error {
	handler, err := o.handler()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	log.Emit(clemevent.ProcessStarted, zap.String("address", listener.Addr().String()))
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	log.Emit(clemevent.ProcessDraining)
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := server.Shutdown(drain); err != nil {
		return err
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

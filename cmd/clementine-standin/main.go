// Command clementine-standin runs a stand-in for a system around the fleet: the
// platform's services, a model engine, a service, the store of a platform for
// fronts, a backend server without a sidecar, or a caller. It exits with 0 after
// a graceful shutdown, 1 on a failure and 2 on wrong usage.
package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/clementineturn/clementineturn/clemcli"
	"github.com/clementineturn/clementineturn/clemevent"
)

const (
	headerTimeout = 10 * time.Second
	// drainTimeout bounds the wait for running requests at shutdown.
	drainTimeout = 30 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes a command line until the context ends and returns the exit code.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	o, code := parse(args, out, errs)
	if o == nil {
		return code
	}
	if o.role == roleCaller {
		return o.caller.run(ctx, out, errs)
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	z := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(errs), zapcore.InfoLevel))
	log := clemevent.New(z).With(zap.String("role", o.role), zap.String("name", o.name))
	if err := serve(ctx, o, log); err != nil {
		log.Emit(clemevent.ProcessFailed, zap.Error(err))
		return clemcli.ExitFailed
	}
	log.Emit(clemevent.ProcessStopped)
	return clemcli.ExitOK
}

// serve serves requests until the context ends, then drains.
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

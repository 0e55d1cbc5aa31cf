// Command clementine runs the processes of the router fleet and the
// operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/clementineturn/clementineturn/clemmain"
)

func main() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	code := clemmain.Run(context.Background(), clemmain.Config{
		Args: os.Args[1:], Out: os.Stdout, Err: os.Stderr, In: os.Stdin, Env: os.Getenv, Stop: stop,
	})
	os.Exit(code)
}

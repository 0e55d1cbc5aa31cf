// Command clementine runs the processes of the router fleet and the
// operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/clementineturn/clementineturn/clemcli"
)

func main() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	code := clemcli.Run(context.Background(), clemcli.Config{
		Args: os.Args[1:], Out: os.Stdout, Err: os.Stderr, In: os.Stdin, Env: os.Getenv, Stop: stop,
	})
	if code != 0 {
		fmt.Fprintf(os.Stderr, "clementine: exit code %d\n", code)
	}
	os.Exit(code)
}

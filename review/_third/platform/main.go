// Command platform runs the cases of the third review: the system's own fronts as separate
// processes, with stand-ins of the platform's store, servers and clients in this one.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// cases are the cases by name. They return an exit status.
var cases = map[string]func(w *world, hasTrouble bool) (int, error){
	"evacuation-after-rewind": evacuationAfterRewind,
	"slow-readers":            slowReaders,
	"drain-after-rewind":      drainAfterRewind,
	"rest-cut-short":          restCutShort,
	"last-tenant-removed":     lastTenantRemoved,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		w.close()
		os.Exit(cannotRun)
	}()
	status, err := cases[name](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	w.log("exit status %d", status)
	return status
}

func verdict(isBroken bool) int {
	if isBroken {
		return ruleBroken
	}
	return ruleHeld
}

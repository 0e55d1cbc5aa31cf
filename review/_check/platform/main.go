// Command check runs one case of the review: it starts fronts as separate
// processes with stand-ins of the store, of backend servers and of clients, and
// writes what was sent, answered and run to the record. It exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime ends a run that hangs.
const maxRunTime = 110 * time.Second

var cases = map[string]func(*bench) (broken int, err error){
	"feed":        runFeed,
	"refused":     runRefused,
	"poison":      runPoison,
	"drain":       runDrain,
	"late":        runLate,
	"undelimited": runUndelimited,
}

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	frontBin := flag.String("front", "target/clementine-front", "program of a front")
	flag.Parse()
	if flag.Arg(0) == "server" {
		fmt.Fprintln(os.Stderr, serveUndelimited(flag.Arg(1), flag.Arg(2)))
		os.Exit(2)
	}
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	os.Exit(runCase(run, *record, *frontBin))
}

func runCase(run func(*bench) (int, error), record, frontBin string) int {
	b, err := newBench(record, frontBin, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	timer := time.AfterFunc(maxRunTime, func() {
		b.note("the run took too long")
		b.close()
		os.Exit(2)
	})
	defer timer.Stop()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		b.note("the run was stopped")
		b.close()
		os.Exit(2)
	}()
	broken, err := run(b)
	switch {
	case err != nil:
		b.note("%v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken > 0:
		b.note("BROKEN: %d", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	b.note("HELD")
	fmt.Println("held")
	return 0
}

// Command clementine-soak runs entries as separate processes with stand-ins of
// the platform, injects faults and checks the guarantees of the fleet. It exits
// with 1 if one is violated or a run fails, and with 2 on wrong usage.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/clementineturn/clementineturn/clemsoak"
)

// options are the parsed options of the command line.
type options struct {
	clemsoak.Config
	seeds, jobs int
	verbose     bool
}

func main() {
	o := options{
		Config: clemsoak.Config{Seed: 1, FrontPath: "bin/clementine-front", Directory: "out/soak", Fronts: 3, Servers: 4, Clients: 24, FaultDuration: 30 * time.Second},
		seeds:  1, jobs: 1,
	}
	flaggy.SetName("clementine-soak")
	flaggy.SetDescription("Runs entries as separate processes, injects faults and checks the promises.")
	flaggy.UInt64(&o.Seed, "s", "seed", "first seed")
	flaggy.Int(&o.seeds, "n", "seeds", "number of seeds")
	flaggy.Int(&o.jobs, "j", "jobs", "number of soaks at a time")
	flaggy.String(&o.FrontPath, "f", "front", "path of the entry's program")
	flaggy.String(&o.Directory, "o", "out", "directory for logs and reports")
	flaggy.Int(&o.Fronts, "e", "entries", "number of entries")
	flaggy.Int(&o.Servers, "b", "servers", "number of backend servers of each service")
	flaggy.Int(&o.Clients, "c", "clients", "number of clients")
	flaggy.Duration(&o.FaultDuration, "d", "disturbed", "time in which faults are injected")
	flaggy.Bool(&o.verbose, "v", "verbose", "print each fault")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reports, err := o.run(ctx)
	if err == nil {
		err = writeReports(filepath.Join(o.Directory, "report.json"), reports)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "clementine-soak:", err)
		os.Exit(1)
	}
	if !clemsoak.WriteTable(os.Stdout, reports) {
		os.Exit(1)
	}
}

// run runs the seeds, up to jobs of them at a time, and returns their reports in
// order.
func (o *options) run(ctx context.Context) ([]*clemsoak.Report, error) {
	reports, errs := make([]*clemsoak.Report, o.seeds), make([]error, o.seeds)
	slots := make(chan struct{}, max(o.jobs, 1))
	var running sync.WaitGroup
	for n := range o.seeds {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			reports[n], errs[n] = o.runSeed(ctx, o.Seed+uint64(n))
		})
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return reports, nil
}

// runSeed runs one seed, with its logs in a directory of its own.
func (o *options) runSeed(ctx context.Context, seed uint64) (*clemsoak.Report, error) {
	config := o.Config
	config.Seed, config.Directory = seed, filepath.Join(o.Directory, fmt.Sprint("seed-", seed))
	if o.verbose {
		config.Out = os.Stderr
	}
	if err := os.MkdirAll(config.Directory, 0o755); err != nil {
		return nil, err
	}
	report, err := clemsoak.Run(ctx, config)
	if err == nil {
		fmt.Fprintln(os.Stderr, report)
	}
	return report, err
}

func writeReports(path string, reports []*clemsoak.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	encoder := json.NewEncoder(io.Writer(file))
	encoder.SetIndent("", " ")
	return encoder.Encode(reports)
}

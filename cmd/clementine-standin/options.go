package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/clementineturn/clementineturn/clemcli"
	"github.com/clementineturn/clementineturn/clemstandin"
)

const (
	rolePlatform = "platform"
	roleEngine   = "engine"
	roleService  = "service"
	roleCaller   = "caller"
	roleProvider = "provider"
	roleServer   = "server"
)

const exitCodes = "Exit codes: 0 after a graceful shutdown (SIGTERM or SIGINT), 1 on a failure, 2 on wrong usage."

// options are the parsed command line.
type options struct {
	role        string
	name        string
	listen      string
	hosts       string
	engine      clemstandin.EngineConfig
	service     clemstandin.ServiceConfig
	caller      caller
	lag         time.Duration
	delay       time.Duration
	reads       float64
	writes      float64
	weightReads float64
}

// parse returns the options of a command line, or nil and the exit code of a
// process that must not run.
func parse(args []string, out, errs io.Writer) (*options, int) {
	o := &options{listen: "127.0.0.1:0"}
	p := flaggy.NewParser("clementine-standin")
	p.Description = "Small stand-ins for the systems around the fleet, for tests and the demo."
	p.AdditionalHelpAppend = exitCodes
	servers := []*flaggy.Subcommand{o.platformCommand(), o.engineCommand(), o.serviceCommand(), providerCommand(), o.serverCommand()}
	for _, c := range servers {
		c.String(&o.listen, "l", "listen", "Address to listen on; port 0 takes a free one, which the log names.")
	}
	commands := append(servers, o.caller.command())
	for _, c := range commands {
		c.AdditionalHelpAppend = exitCodes
		p.AttachSubcommand(c, 1)
	}
	cli := clemcli.Config{Parser: p, Args: args, Out: out, Err: errs}
	if code, run := clemcli.Parse(cli); !run {
		return nil, code
	}
	for _, c := range commands {
		if c.Used {
			o.role = c.Name
		}
	}
	if err := o.check(); err != nil {
		return nil, clemcli.Usage(cli, "%v", err)
	}
	return o, clemcli.ExitOK
}

func (o *options) platformCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand(rolePlatform)
	c.Description = "The platform's table, object store, weight store and list of hosts."
	c.String(&o.hosts, "", "hosts", `JSON file with the list of hosts, {"hosts": [...]}; it is read again when it changes.`)
	c.Duration(&o.lag, "", "lag", "Time by which the list of hosts lags behind the truth.")
	c.Duration(&o.delay, "", "delay", "Time added before each call of the table takes effect.")
	c.Float64(&o.reads, "", "reads", "Most reads of the table a second; 0 sets no limit.")
	c.Float64(&o.writes, "", "writes", "Most writes of the table a second; 0 sets no limit.")
	c.Float64(&o.weightReads, "", "weights", "Most reads of the weight store a second; 0 sets no limit.")
	return c
}

func (o *options) engineCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand(roleEngine)
	c.Description = "A model engine with an OpenAI-compatible interface."
	e := &o.engine
	c.String(&o.name, "", "name", "Name that stands in each answer; the model's if absent.")
	c.String(&e.Model, "m", "model", "Name of the model; needed.")
	c.Int(&e.Slots, "", "slots", "Requests that run in one batch; 0 means 8.")
	c.Duration(&e.StepTime, "", "step", "Time of one decoding step; 0 means 20ms.")
	c.Float64(&e.BatchSlowdown, "", "batch", "Share by which each further request of a batch lengthens a step.")
	c.Int(&e.PrefillTokens, "", "prefill", "Uncached prompt tokens per step; 0 means 512.")
	c.Int(&e.CacheTokens, "", "cache", "Tokens that the prefix cache holds; 0 means 65536.")
	c.Int(&e.MeanOutputTokens, "", "output", "Mean number of tokens in an answer; 0 means 24.")
	c.UInt64(&e.Seed, "", "seed", "Seed of the loss of cache events.")
	c.Bool(&e.Fencing, "", "fencing", "Refuse orders with an old fencing number.")
	c.String(&e.WeightsURL, "", "weights", "Base address of the platform whose weight store holds the model versions.")
	c.Duration(&o.lag, "", "lag", "Time by which the load report lags behind the truth.")
	return c
}

func (o *options) serviceCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand(roleService)
	c.Description = "A plain service that counts the runs of its calls."
	c.String(&o.name, "", "name", "Name that stands in each answer.")
	c.Duration(&o.delay, "", "delay", "Time that each call runs.")
	return c
}

func providerCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand(roleProvider)
	c.Description = "The store of a platform on which fronts run; PUT /TABLE/KEY writes a row, DELETE drops one."
	return c
}

func (o *options) serverCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand(roleServer)
	c.Description = "A backend server without a sidecar, as fronts meet it."
	c.String(&o.name, "", "name", "Id that stands in the server's row.")
	return c
}

// check returns an error that lists every invalid option.
func (o *options) check() error {
	if o.role == "" {
		return errors.New("a subcommand is needed: platform, engine, service, provider, server or caller")
	}
	var errs []error
	if o.role == roleEngine && o.engine.Model == "" {
		errs = append(errs, errors.New("--model is needed"))
	}
	if o.role == roleCaller && o.caller.url == "" {
		errs = append(errs, errors.New("--url is needed"))
	}
	for _, limit := range []struct {
		flag  string
		value float64
	}{
		{"slots", float64(o.engine.Slots)},
		{"step", float64(o.engine.StepTime)},
		{"batch", o.engine.BatchSlowdown},
		{"prefill", float64(o.engine.PrefillTokens)},
		{"cache", float64(o.engine.CacheTokens)},
		{"output", float64(o.engine.MeanOutputTokens)},
		{"lag", float64(o.lag)},
		{"delay", float64(o.delay)},
		{"reads", o.reads},
		{"writes", o.writes},
		{"weights", o.weightReads},
	} {
		if limit.value < 0 {
			errs = append(errs, fmt.Errorf("--%s: found a negative value, allowed are 0 and above", limit.flag))
		}
	}
	return errors.Join(errs...)
}

// handler returns the HTTP handler of the role.
func (o *options) handler() (http.Handler, error) {
	lag, delay := clemstandin.Duration(o.lag), clemstandin.Duration(o.delay)
	switch o.role {
	case rolePlatform:
		return clemstandin.NewPlatform(clemstandin.PlatformConfig{HostsFile: o.hosts, Faults: clemstandin.PlatformFaults{
			Table:   clemstandin.Faults{Delay: delay, MaxReadsPerSecond: o.reads, MaxWritesPerSecond: o.writes},
			Weights: clemstandin.Faults{MaxReadsPerSecond: o.weightReads},
			Hosts:   clemstandin.Faults{Lag: lag},
		}})
	case roleProvider:
		return clemstandin.NewProvider(), nil
	case roleServer:
		return clemstandin.NewEchoServer(o.name), nil
	case roleEngine:
		o.engine.Name = o.name
		o.engine.Faults.MetricsLag = lag
		return clemstandin.NewEngine(o.engine), nil
	}
	o.service.Name = o.name
	o.service.Faults.Delay = delay
	return clemstandin.NewService(o.service), nil
}

// Package clemsoak runs entries as separate processes beside stand-ins of the
// platform, injects faults from outside and checks the promises meanwhile, from
// what clients, backend servers and the operator see.
package clemsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineturn/clementineturn/clemstandin"
)

const (
	// The ports of an entry, each of which has an address of its own.
	listenPort, readyPort, controlPort = 7001, 7002, 7003
	// readyPace is the pace at which the balancer asks entries whether they are
	// ready, readyMisses the misses that take one out, as on the platform.
	readyPace   = time.Second
	readyMisses = 2
	// readyLimit bounds waiting for the first configuration to be in force.
	readyLimit = time.Minute
	// touchTime is how long an entry, the store or a server must have been
	// undisturbed for what is promised of calm ones, as the deployment's rules say.
	touchTime = 3 * time.Second
	// recoverTime is the time after the last fault in which service is back.
	recoverTime = 12 * time.Second
	// afterTime is how long the soak goes on after it.
	afterTime = 4 * time.Second
	// networks is the number of parts of the loopback network that are tried.
	networks = 100
	// stallPace is the pace at which the soak measures how late it is itself.
	stallPace = 10 * time.Millisecond
)

// promises are the bounds of the soak's deployment: those of the first sites.
var promises = clemstandin.Promises{
	GraceS: 8, Multiple: 2, RetryShare: 0.2, RetryWindowS: 10, RetrySlack: 54, DrainMS: 2000,
}

const (
	// configurationTime is how long a version may take to be in force.
	configurationTime = 2 * time.Second
	// boundFloor is what a server may carry beyond the multiple of the mean.
	boundFloor = 3
)

// Config describes a soak.
type Config struct {
	Seed uint64
	// Front is the path of the entry's program.
	Front string
	// Directory takes logs and settings.
	Directory string
	// Fronts, Servers and Clients are the numbers of entries, of servers of
	// each of the two services, and of clients.
	Fronts, Servers, Clients int
	// Disturbed is the time in which faults are injected.
	Disturbed time.Duration
	// Hasty skips what is promised within a time, and ends once everything is
	// served again: its verdict does not depend on the machine's speed.
	Hasty bool
	// Out takes a line for each fault; nil discards them.
	Out io.Writer
}

// Report is what a soak showed.
type Report struct {
	Seed       uint64          `json:"seed"`
	Requests   int             `json:"requests"`
	Served     int             `json:"served"`
	Runs       int             `json:"runs"`
	Starts     int64           `json:"starts"`
	Faults     map[string]int  `json:"faults"`
	Checked    map[Promise]int `json:"checked"`
	Broken     map[Promise]int `json:"broken"`
	Violations []string        `json:"violations"`
	Stall      time.Duration   `json:"stall"`
	Statuses   map[string]int  `json:"statuses"`
}

// Soak is one run.
type Soak struct {
	config  Config
	rng     *rand.Rand
	witness *witness
	world   *world
	fronts  []*front
	faults  counts
	// stalled is the longest lateness of the soak's own timers so far.
	stalled atomic.Int64
	tasks   sync.WaitGroup
}

// counts counts by name.
type counts struct {
	mu sync.Mutex
	by map[string]int
}

func (c *counts) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = map[string]int{}
	}
	c.by[name]++
}

// front is an entry's process and the ways to it.
type front struct {
	*process
	address, ready string
	clients        *link
	store          *link
	settings       clemstandin.FrontSettings
	path           string
	isIn           atomic.Bool
	calm
	// left is when it was last asked to leave, in nanoseconds since 1970.
	left atomic.Int64
}

// Run runs a soak to its end. An error is one of the soak itself.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Out == nil {
		c.Out = io.Discard
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &Soak{config: c, rng: rand.New(rand.NewPCG(c.Seed, 0)), witness: newWitness()}
	var err error
	if s.world, err = newWorld(c, s.witness, s.areCalm, s.stall); err != nil {
		return nil, err
	}
	defer s.world.close()
	if err := s.startFronts(ctx); err != nil {
		return nil, err
	}
	defer func() {
		cancel()
		for _, f := range s.fronts {
			f.clients.close()
			f.store.close()
			f.kill()
		}
		s.tasks.Wait()
	}()
	s.task(func() { s.measureStalls(ctx) })
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	clients, stopClients := context.WithCancel(ctx)
	var visiting sync.WaitGroup
	for n := range c.Clients {
		visiting.Go(func() { newClient(s, n).run(clients) })
	}
	for _, f := range s.fronts {
		visiting.Go(func() { newProber(s, f).run(clients) })
	}
	s.disturb(ctx)
	quiet := s.settle(ctx)
	stopClients()
	visiting.Wait()
	s.witness.conclude(promises, quiet)
	return s.report(), nil
}

func (s *Soak) task(work func()) { s.tasks.Go(work) }

// settle waits for the end of recovery and returns its time.
func (s *Soak) settle(ctx context.Context) time.Time {
	if s.config.Hasty {
		for _, f := range s.fronts {
			for ctx.Err() == nil && !f.isIn.Load() {
				sleep(ctx, readyPace/4)
			}
		}
	} else {
		sleep(ctx, recoverTime)
	}
	quiet := time.Now()
	sleep(ctx, afterTime)
	return quiet
}

// startFronts starts the entries and the balancer that asks whether they are ready.
func (s *Soak) startFronts(ctx context.Context) error {
	spawner := newSpawner(ctx)
	part, lock, err := network(s.config.Seed)
	if err != nil {
		return err
	}
	s.task(func() {
		<-ctx.Done()
		_ = lock.Close()
	})
	var seeds []string
	for n := range min(s.config.Fronts, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", part, n+1, controlPort))
	}
	for n := range s.config.Fronts {
		ip := fmt.Sprintf("%s.%d", part, n+1)
		f := &front{address: fmt.Sprintf("%s:%d", ip, listenPort), ready: fmt.Sprintf("%s:%d", ip, readyPort)}
		if f.clients, err = newLink(f.address); err != nil {
			return err
		}
		if f.store, err = newLink(s.world.storeAddress); err != nil {
			return err
		}
		name := fmt.Sprintf("front-%d", n+1)
		f.settings = clemstandin.FrontSettings{
			Name: name, IP: ip, Listen: f.address, Ready: f.ready, Control: fmt.Sprintf("%s:%d", ip, controlPort),
			Store: f.store.address(), Seeds: seeds, Promises: promises,
		}
		f.path = filepath.Join(s.config.Directory, name+".json")
		if err := f.write(""); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(s.config.Directory, name+".log"))
		if err != nil {
			return err
		}
		f.process = &process{
			name: name, path: s.config.Front, env: []string{clemstandin.SettingsVariable + "=" + f.path}, log: log, spawner: spawner, started: f.disturb,
			ended: func(isAsked bool, err error) {
				s.witness.check(PromiseAlive, isAsked, "%s ended by itself: %v", name, err)
			},
		}
		f.disturb()
		s.fronts = append(s.fronts, f)
		s.task(func() {
			defer log.Close()
			f.run(ctx)
		})
		s.task(func() { f.watch(ctx) })
	}
	return nil
}

// network returns the first three bytes of a part of the loopback network that
// no other soak on this machine uses, and what keeps it for this one.
func network(seed uint64) (string, io.Closer, error) {
	var lock net.Listener
	var err error
	for n := range uint64(networks) {
		part := fmt.Sprintf("127.%d.%d", 20+(seed+n)%200, (seed+n)/200%250)
		if lock, err = net.Listen("tcp", fmt.Sprintf("%s.254:%d", part, listenPort)); err == nil {
			return part, lock, nil
		}
	}
	return "", nil, fmt.Errorf("no part of the loopback network is free: %w", err)
}

// write writes the settings file with a comment, which changes nothing.
func (f *front) write(comment string) error {
	settings := f.settings
	settings.Comment = comment
	text, err := settings.Text()
	if err != nil {
		return err
	}
	return os.WriteFile(f.path, text, 0o600)
}

// watch asks whether the entry is ready, as the platform's balancer does.
func (f *front) watch(ctx context.Context) {
	client := &http.Client{Timeout: readyPace, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for sleep(ctx, readyPace/2) {
		response, err := client.Get("http://" + f.ready + "/-/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
			f.isIn.Store(true)
		} else if misses++; misses >= readyMisses {
			f.isIn.Store(false)
		}
	}
}

func (s *Soak) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, f := range s.fronts {
		for !f.isIn.Load() {
			if !sleep(ctx, readyPace/10) {
				return fmt.Errorf("%s is not ready after %s", f.name, readyLimit)
			}
		}
	}
	return nil
}

// measureStalls notes how late the soak itself is: a bound in time is only
// judged by a soak that kept time.
func (s *Soak) measureStalls(ctx context.Context) {
	for last := time.Now(); sleep(ctx, stallPace); last = time.Now() {
		if late := int64(time.Since(last) - stallPace); late > s.stalled.Load() {
			s.stalled.Store(late)
		}
	}
}

func (s *Soak) stall() time.Duration { return time.Duration(s.stalled.Load()) }

// areCalm reports whether no entry, the store included, was disturbed lately.
func (s *Soak) areCalm(span time.Duration) bool {
	for _, f := range s.fronts {
		if !f.holds(span) {
			return false
		}
	}
	return s.world.storeCalm.holds(span)
}

// pick returns an entry that the balancer hands connections to, or any if none is in.
func (s *Soak) pick(n int) *front {
	for i := range s.fronts {
		if f := s.fronts[(n+i)%len(s.fronts)]; f.isIn.Load() {
			return f
		}
	}
	return s.fronts[n%len(s.fronts)]
}

func (s *Soak) report() *Report {
	w := s.witness
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Report{
		Seed: s.config.Seed, Requests: len(w.asked), Runs: len(w.byStamp), Faults: s.faults.by,
		Checked: w.checked, Broken: w.broken, Violations: w.violations, Stall: s.stall(), Statuses: map[string]int{},
	}
	for _, a := range w.asked {
		if a.served {
			r.Served++
		}
		r.Statuses[fmt.Sprintf("%s %d", a.kind, a.status)]++
	}
	for _, f := range s.fronts {
		r.Starts += f.incarnation.Load()
	}
	return r
}

// dialTo returns a dialer that connects to whatever entry the balancer picks,
// over its link, and tells which.
func (s *Soak) dialTo(next func() int, picked func(*front)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		f := s.pick(next())
		picked(f)
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, f.clients.address())
	}
}

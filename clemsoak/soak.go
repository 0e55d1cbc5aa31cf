// Package clemsoak runs entries as separate processes on stand-ins of the
// platform, injects faults from outside and checks the system's promises
// meanwhile, using what clients, backend servers and the operator observe.
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
	// The ports of an entry. Each entry has its own loopback address.
	listenPort, readyPort, controlPort = 7001, 7002, 7003
	// readyInterval is the interval at which the load balancer checks whether
	// entries are ready. After maxReadyFailures failed checks it sends an entry
	// no new connections, as on the platform.
	readyInterval    = time.Second
	maxReadyFailures = 2
	// readyTimeout bounds the wait for the first configuration to be in force.
	readyTimeout = time.Minute
	// minQuietTime is how long an entry, the store or a server must have been
	// free of faults for promises about undisturbed ones to apply, as the
	// deployment's rules state.
	minQuietTime = 3 * time.Second
	// recoveryTime is the time after the last fault within which service must
	// have recovered.
	recoveryTime = 12 * time.Second
	// postRecoveryTime is how long the soak goes on after that.
	postRecoveryTime = 4 * time.Second
	// maxNetworksTried is the number of loopback networks that are tried.
	maxNetworksTried = 100
	// stallCheckInterval is the interval at which the soak measures the lateness
	// of its own timers.
	stallCheckInterval = 10 * time.Millisecond
)

// bounds are those of the soak's deployment. They equal the ones of the first
// sites.
var bounds = clemstandin.FrontBounds{
	GracePeriodS: 8, MaxLoadFactor: 2, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 54, DrainTimeoutMS: 2000,
	ColdFactor: 1.5, ColdSlack: 5,
}

const (
	// maxConfigurationDelay is how long a version may take to be in force.
	maxConfigurationDelay = 2 * time.Second
	// boundSlack is the number of requests that a server may have in progress
	// beyond the load factor times the mean.
	boundSlack = 3
)

// Config describes a soak.
type Config struct {
	Seed uint64
	// FrontPath is the path of the entry's program.
	FrontPath string
	// Directory is where logs and settings are written.
	Directory string
	// Fronts, Servers and Clients are the numbers of entries, of servers of
	// each of the two services, and of clients.
	Fronts, Servers, Clients int
	// FaultDuration is the time during which faults are injected.
	FaultDuration time.Duration
	// SkipTimeBounds skips promises that hold within some time, and ends the soak
	// once every entry is ready again. The verdict then does not depend on the
	// machine's speed.
	SkipTimeBounds bool
	// Out receives a line for each fault; nil discards them.
	Out io.Writer
}

// Report is the result of a soak.
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

// Soak is one run of the soak test.
type Soak struct {
	config   Config
	rng      *rand.Rand
	observer *observer
	env      *environment
	fronts   []*front
	faults   counts
	// maxStall is the longest lateness of the soak's own timers so far, in
	// nanoseconds.
	maxStall   atomic.Int64
	background sync.WaitGroup
}

// counts counts events by name. It is safe for concurrent use.
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

// front is an entry's process with its addresses and links.
type front struct {
	*process
	address, ready string
	clients        *link
	store          *link
	settings       clemstandin.FrontSettings
	settingsPath   string
	isReady        atomic.Bool
	quietPeriod
	// lastStopRequest is when the entry was last asked to stop, in nanoseconds
	// since 1970.
	lastStopRequest atomic.Int64
}

// Run runs a soak to its end. It returns an error only if the soak itself fails;
// violations are in the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Out == nil {
		c.Out = io.Discard
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &Soak{config: c, rng: rand.New(rand.NewPCG(c.Seed, 0)), observer: newObserver()}
	var err error
	if s.env, err = newEnvironment(c, s.observer, s.areQuiet, s.stall); err != nil {
		return nil, err
	}
	defer s.env.close()
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
		s.background.Wait()
	}()
	s.start(func() { s.measureStalls(ctx) })
	s.start(func() { s.env.writeHeartbeats(ctx) })
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	clients, stopClients := context.WithCancel(ctx)
	var clientTasks sync.WaitGroup
	for n := range c.Clients + c.Clients/clientsPerSlowClient {
		client := newClient(s, n)
		client.isSlow = n >= c.Clients
		clientTasks.Go(func() { client.run(clients) })
	}
	for _, f := range s.fronts {
		clientTasks.Go(func() { newProber(s, f).run(clients) })
	}
	var restores sync.WaitGroup
	restores.Go(func() { s.restoreStore(ctx) })
	s.injectFaults(ctx)
	restores.Wait()
	quietFrom := s.awaitRecovery(ctx)
	stopClients()
	clientTasks.Wait()
	s.observer.checkTotals(bounds, quietFrom)
	return s.report(), nil
}

func (s *Soak) start(work func()) { s.background.Go(work) }

// awaitRecovery waits until service must have recovered and returns that time,
// after postRecoveryTime has passed as well.
func (s *Soak) awaitRecovery(ctx context.Context) time.Time {
	if s.config.SkipTimeBounds {
		for _, f := range s.fronts {
			for ctx.Err() == nil && !f.isReady.Load() {
				sleep(ctx, readyInterval/4)
			}
		}
	} else {
		sleep(ctx, recoveryTime)
	}
	quietFrom := time.Now()
	sleep(ctx, postRecoveryTime)
	return quietFrom
}

// startFronts starts the entries and their readiness checks.
func (s *Soak) startFronts(ctx context.Context) error {
	spawner := newSpawner(ctx)
	prefix, lock, err := reserveNetwork(s.config.Seed)
	if err != nil {
		return err
	}
	s.start(func() {
		<-ctx.Done()
		_ = lock.Close()
	})
	var seeds []string
	for n := range min(s.config.Fronts, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", prefix, n+1, controlPort))
	}
	for n := range s.config.Fronts {
		ip := fmt.Sprintf("%s.%d", prefix, n+1)
		f := &front{address: fmt.Sprintf("%s:%d", ip, listenPort), ready: fmt.Sprintf("%s:%d", ip, readyPort)}
		if f.clients, err = newLink(f.address); err != nil {
			return err
		}
		if f.store, err = newLink(s.env.storeAddress); err != nil {
			return err
		}
		name := fmt.Sprintf("front-%d", n+1)
		f.settings = clemstandin.FrontSettings{
			Name: name, IP: ip, ListenAddress: f.address, ReadyAddress: f.ready, ControlAddress: fmt.Sprintf("%s:%d", ip, controlPort),
			StoreAddress: f.store.address(), Seeds: seeds, Bounds: bounds,
		}
		f.settingsPath = filepath.Join(s.config.Directory, name+".json")
		if err := f.writeSettings(""); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(s.config.Directory, name+".log"))
		if err != nil {
			return err
		}
		f.process = &process{
			name: name, path: s.config.FrontPath, env: []string{clemstandin.SettingsVariable + "=" + f.settingsPath}, log: log, spawner: spawner, onStart: f.recordFault,
			onExit: func(isRequested bool, err error) {
				s.observer.check(PromiseNoCrash, isRequested, "%s ended by itself: %v", name, err)
			},
		}
		f.recordFault()
		s.fronts = append(s.fronts, f)
		s.start(func() {
			defer log.Close()
			f.run(ctx)
		})
		s.start(func() { f.watchReadiness(ctx) })
	}
	return nil
}

// reserveNetwork returns the first three bytes of a loopback network that no other
// soak on this machine uses, and a lock that reserves it until it is closed.
func reserveNetwork(seed uint64) (string, io.Closer, error) {
	var lock net.Listener
	var err error
	for n := range uint64(maxNetworksTried) {
		prefix := fmt.Sprintf("127.%d.%d", 20+(seed+n)%200, (seed+n)/200%250)
		if lock, err = net.Listen("tcp", fmt.Sprintf("%s.254:%d", prefix, listenPort)); err == nil {
			return prefix, lock, nil
		}
	}
	return "", nil, fmt.Errorf("no part of the loopback network is free: %w", err)
}

// writeSettings writes the settings file with a comment, which has no effect on
// the entry.
func (f *front) writeSettings(comment string) error {
	settings := f.settings
	settings.Comment = comment
	text, err := settings.Text()
	if err != nil {
		return err
	}
	return os.WriteFile(f.settingsPath, text, 0o600)
}

// watchReadiness checks whether the entry is ready, as the platform's load
// balancer does.
func (f *front) watchReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	failures := 0
	for sleep(ctx, readyInterval/2) {
		response, err := client.Get("http://" + f.ready + "/-/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			failures = 0
			f.isReady.Store(true)
		} else if failures++; failures >= maxReadyFailures {
			f.isReady.Store(false)
		}
	}
}

func (s *Soak) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, f := range s.fronts {
		for !f.isReady.Load() {
			if !sleep(ctx, readyInterval/10) {
				return fmt.Errorf("%s is not ready after %s", f.name, readyTimeout)
			}
		}
	}
	return nil
}

// measureStalls records the lateness of the soak's own timers. Bounds in time are
// extended by it, or not checked if it is too large.
func (s *Soak) measureStalls(ctx context.Context) {
	for last := time.Now(); sleep(ctx, stallCheckInterval); last = time.Now() {
		if lateness := int64(time.Since(last) - stallCheckInterval); lateness > s.maxStall.Load() {
			s.maxStall.Store(lateness)
		}
	}
}

func (s *Soak) stall() time.Duration { return time.Duration(s.maxStall.Load()) }

// areQuiet reports whether no fault affected an entry or the store within the
// given time.
func (s *Soak) areQuiet(span time.Duration) bool {
	for _, f := range s.fronts {
		if !f.isQuietFor(span) {
			return false
		}
	}
	return s.env.storeQuiet.isQuietFor(span)
}

// balance returns the entry that the load balancer picks for a connection: one
// that is ready, or any if none is.
func (s *Soak) balance(n int) *front {
	for i := range s.fronts {
		if f := s.fronts[(n+i)%len(s.fronts)]; f.isReady.Load() {
			return f
		}
	}
	return s.fronts[n%len(s.fronts)]
}

func (s *Soak) report() *Report {
	o := s.observer
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &Report{
		Seed: s.config.Seed, Requests: len(o.requests), Runs: len(o.byStamp), Faults: s.faults.by,
		Checked: o.checked, Broken: o.broken, Violations: o.violations, Stall: s.stall(), Statuses: map[string]int{},
	}
	for _, a := range o.requests {
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

// dialTo returns a dialer that connects to the entry that the load balancer picks,
// over that entry's link, and passes the entry to onPick.
func (s *Soak) dialTo(next func() int, onPick func(*front)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		f := s.balance(next())
		onPick(f)
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, f.clients.address())
	}
}

package clemsoak

import (
	"context"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineturn/clementineturn/clemstandin"
)

const (
	appSlots, chatSlots = 6, 32
	// appWork is the time of a call, chatPause the pause between two events.
	appWork   = 15 * time.Millisecond
	chatPause = 20 * time.Millisecond
	// objectiveMS and timeoutMS hold for all routes.
	objectiveMS, timeoutMS = 600, 4000
	// organisations is the number of organisations whose keys stay.
	organisations     = 4
	probeOrganisation = "probe"
	// leaveTime is how long a server stays listed as leaving, reuseTime how long
	// the address of one that is gone is free.
	leaveTime = 5 * time.Second
	reuseTime = 2 * time.Second
	// drainTime is how long entries may send a leaving server new requests.
	drainTime = 2 * time.Second
	// boundCalm is how long servers must be undisturbed for the bound to be checked.
	boundCalm = 5 * time.Second
)

// seat is a place where servers of a service run one after the other.
type seat struct {
	link    *link
	service string
	server  *clemstandin.Backend
	http    *http.Server
	// isBusy is set while the server is replaced or crashed.
	isBusy atomic.Bool
}

// world is everything around the entries: the store, the operator and the
// backend servers.
type world struct {
	config       Config
	witness      *witness
	store        *clemstandin.Provider
	storeAddress string
	storeServer  *http.Server
	seats        []*seat
	// isCalm reports whether entries and the store were undisturbed for a time,
	// stall how late the soak itself is.
	isCalm func(span time.Duration) bool
	stall  func() time.Duration

	// turns are held while a server of the service is replaced.
	turns                  [2]sync.Mutex
	storeCalm, serversCalm calm

	mu      sync.Mutex
	serial  int
	version int
	// acknowledged is when the version was.
	acknowledged time.Time
	keys         map[string]string
	// revoked are keys that were taken away, by the version without them.
	revoked map[string]int
	// leaving is when the store took a server's leaving.
	leaving map[string]time.Time
}

func newWorld(c Config, w *witness, isCalm func(time.Duration) bool, stall func() time.Duration) (*world, error) {
	o := &world{
		config: c, witness: w, isCalm: isCalm, stall: stall, store: clemstandin.NewProvider(), keys: map[string]string{probeOrganisation: "key-" + probeOrganisation},
		revoked: map[string]int{}, leaving: map[string]time.Time{},
	}
	for n := range organisations {
		o.keys[organisation(n)] = "key-" + organisation(n)
	}
	var err error
	if o.storeServer, o.storeAddress, err = serveOn(o.store); err != nil {
		return nil, err
	}
	for n := range 2 * c.Servers {
		s := &seat{service: []string{serviceApp, serviceChat}[n%2]}
		if s.link, err = newLink(""); err != nil {
			return nil, err
		}
		o.seats = append(o.seats, s)
		if err := o.settle(s); err != nil {
			return nil, err
		}
	}
	return o, o.configure()
}

func organisation(n int) string { return fmt.Sprintf("org-%d", n) }

// serveOn serves a handler on a free port.
func serveOn(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

func (o *world) close() {
	for _, s := range o.seats {
		s.link.close()
		_ = s.http.Close()
	}
	_ = o.storeServer.Close()
}

// turn returns the lock that one replacement of a service holds at a time.
func (o *world) turn(service string) *sync.Mutex {
	if service == serviceApp {
		return &o.turns[0]
	}
	return &o.turns[1]
}

// backend returns the server that a seat has now.
func (o *world) backend(s *seat) *clemstandin.Backend {
	o.mu.Lock()
	defer o.mu.Unlock()
	return s.server
}

// settle starts a new server at a seat and lists it.
func (o *world) settle(s *seat) error {
	o.mu.Lock()
	o.serial++
	n := o.serial
	o.mu.Unlock()
	config := clemstandin.BackendConfig{
		ID: fmt.Sprintf("i-%03d", n), Service: s.service, Slots: appSlots, Work: appWork, Seed: o.config.Seed + uint64(n),
		Arrived: o.witness.arrival, Ended: o.witness.finished,
	}
	if s.service == serviceChat {
		config.Slots, config.Work, config.Events = chatSlots, chatPause, chatEvents
	}
	config.Began = o.began
	server := clemstandin.NewBackend(config)
	listening, address, err := serveOn(server)
	if err != nil {
		return err
	}
	o.mu.Lock()
	s.server, s.http = server, listening
	o.mu.Unlock()
	s.link.move(address)
	return o.store.List(server, s.link.address(), false)
}

// began checks a run against what the operator and the store know.
func (o *world) began(run clemstandin.Run) {
	o.witness.began(run)
	o.mu.Lock()
	left, isLeaving := o.leaving[run.Server]
	o.mu.Unlock()
	if isLeaving && !o.config.Hasty {
		o.witness.check(PromiseDrained, !o.isDue(left, drainTime) || !o.isCalm(touchTime), "%s runs at %s %s after its leaving was taken", run.Request, run.Server, time.Since(left))
	}
	if run.Service == serviceChat && o.isCalm(touchTime) && o.serversCalm.holds(boundCalm) {
		held, total, servers := 0, 0, 0
		for _, b := range o.backends(serviceChat) {
			if b.ID() == run.Server {
				held = b.Held()
			}
			total, servers = total+b.Held(), servers+1
		}
		o.witness.load(held, float64(total)/float64(max(servers, 1)), promises.Multiple, boundFloor)
	}
}

// isDue reports whether calm entries must act on what was acknowledged then.
func (o *world) isDue(acknowledged time.Time, within time.Duration) bool {
	return time.Since(acknowledged) > within+o.stall() && o.storeCalm.holds(touchTime)
}

// backends returns the servers of a service.
func (o *world) backends(service string) []*clemstandin.Backend {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []*clemstandin.Backend
	for _, s := range o.seats {
		if s.service == service {
			found = append(found, s.server)
		}
	}
	return found
}

// configure writes the next version of the configuration. Each version has a
// route of its own, which tells what is in force.
func (o *world) configure() error {
	o.mu.Lock()
	o.version++
	m := clemstandin.ProviderConfiguration{
		Version: o.version, Host: host, Services: []string{serviceApp, serviceChat}, Keys: maps.Clone(o.keys),
		TimeoutMS: timeoutMS, ObjectiveMS: objectiveMS,
	}
	o.mu.Unlock()
	for _, k := range kinds[:kindProbe] {
		m.Routes = append(m.Routes, clemstandin.Route{
			Prefix: k.prefix, Kind: k.route, Service: k.service, Attempts: k.attempts,
			Resumable: k.events > 0 && k.idempotent, Affinity: k.events > 0,
		})
	}
	m.Routes = append(m.Routes, clemstandin.Route{Prefix: versionPath(m.Version), Kind: "safe", Service: serviceApp, Attempts: kinds[kindProbe].attempts})
	err := o.store.Configure(m)
	o.mu.Lock()
	o.acknowledged = time.Now()
	o.mu.Unlock()
	return err
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// current returns the newest version and when it was acknowledged.
func (o *world) current() (int, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version, o.acknowledged
}

// admit adds an organisation with a key that revoke takes away.
func (o *world) admit(name string) error {
	o.mu.Lock()
	o.keys[name] = "key-" + name
	o.mu.Unlock()
	return o.configure()
}

func (o *world) revoke(name string) error {
	o.mu.Lock()
	delete(o.keys, name)
	o.revoked[name] = o.version + 1
	o.mu.Unlock()
	return o.configure()
}

// guests returns the organisations whose keys were taken away, with the first version without them.
func (o *world) guests() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.revoked)
}

// crash ends a seat's server at once; its row stays for a while.
func (o *world) crash(s *seat) {
	o.serversCalm.disturb()
	s.link.move("")
	s.link.reset()
	o.mu.Lock()
	listening := s.http
	o.mu.Unlock()
	_ = listening.Close()
}

// replace lists the seat's server as leaving, drops it after a while and
// starts another one at the same address.
func (o *world) replace(ctx context.Context, s *seat) error {
	o.serversCalm.disturb()
	o.mu.Lock()
	old, listening := s.server, s.http
	o.mu.Unlock()
	old.Leave()
	if err := o.store.List(old, s.link.address(), true); err != nil {
		return err
	}
	o.mu.Lock()
	o.leaving[old.ID()] = time.Now()
	o.mu.Unlock()
	sleep(ctx, leaveTime)
	o.store.Unlist(old.ID())
	sleep(ctx, reuseTime)
	s.link.move("")
	_ = listening.Close()
	o.serversCalm.disturb()
	return o.settle(s)
}

// restart forgets a crashed server's row and starts another one.
func (o *world) restart(ctx context.Context, s *seat) error {
	o.mu.Lock()
	old := s.server
	o.mu.Unlock()
	sleep(ctx, reuseTime)
	o.store.Unlist(old.ID())
	o.serversCalm.disturb()
	return o.settle(s)
}

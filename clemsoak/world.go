package clemsoak

import (
	"context"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineturn/clementineturn/clemstandin"
)

const (
	appSlots, streamSlots = 6, 32
	// callTime is the duration of a call, eventInterval the time between two
	// events of a stream.
	callTime      = 15 * time.Millisecond
	eventInterval = 20 * time.Millisecond
	// slowTime is the duration of a slow call.
	slowTime = 5 * time.Second
	// objectiveMS and timeoutMS hold for all routes but that of slow calls, which has
	// the timeout slowTimeoutMS.
	objectiveMS, timeoutMS, slowTimeoutMS = 600, 4000, 10_000
	// organisations is the number of organisations whose keys are never revoked.
	organisations     = 4
	probeOrganisation = "probe"
	// drainingTime is how long a server stays listed as draining,
	// addressReuseDelay how long the address of a removed server is not used.
	drainingTime      = 5 * time.Second
	addressReuseDelay = 2 * time.Second
	// maxDrainDelay is how long entries may still send new requests to a
	// draining server.
	maxDrainDelay = 2 * time.Second
	// announcedTime is how long a server announces in its responses that it leaves before
	// its row says so.
	announcedTime = 3 * time.Second
	// maxEvacuationDelay is how long entries may still send new requests to the servers
	// of a data centre after the store took its evacuation, and evacuationTime how long
	// it is evacuated at least, so that the delay passes.
	maxEvacuationDelay = 5 * time.Second
	evacuationTime     = 8 * time.Second
	// coldTime is how long a server is cold after its start, coldPerS the number of
	// requests a second that it tolerates meanwhile.
	coldTime = 4 * time.Second
	coldPerS = 15
	// heartbeatInterval is the interval at which servers write their rows.
	heartbeatInterval = 1200 * time.Millisecond
	// maxColdStall is the lateness of the soak's own timers up to which requests to cold
	// servers are counted: on a machine that stands still, requests of several seconds
	// arrive within one.
	maxColdStall = 200 * time.Millisecond
	// boundQuietTime is how long servers must have been free of faults for the
	// load bound to be checked.
	boundQuietTime = 5 * time.Second
)

// serverSlot is an address at which servers of a service run one after the other. Its
// quiet period is that of the server that runs now.
type serverSlot struct {
	quietPeriod
	link    *link
	service string
	centre  string
	server  *clemstandin.Backend
	http    *http.Server
	// linkQuiet is the quiet period of the link alone.
	linkQuiet quietPeriod
	// rowState is the state in the server's row, or "" while it writes none.
	rowState string
	// isBusy is set while the server is being replaced or restarted.
	isBusy atomic.Bool
}

// environment is everything around the entries: the store, the operator and the
// backend servers.
type environment struct {
	config       Config
	observer     *observer
	store        *clemstandin.Provider
	storeAddress string
	storeServer  *http.Server
	slots        []*serverSlot
	// added are the slots of the servers that addServer started. mu guards it.
	added []*serverSlot
	// isQuiet reports whether entries and the store were free of faults for the
	// given time, stall returns the lateness of the soak's own timers.
	isQuiet func(span time.Duration) bool
	stall   func() time.Duration

	// replaceLocks has a lock for each service, held while one of its servers is
	// replaced.
	replaceLocks             [2]sync.Mutex
	storeQuiet, serversQuiet quietPeriod
	// isEvacuating is set while a data centre is evacuated.
	isEvacuating atomic.Bool

	mu          sync.Mutex
	serverCount int
	// release is the version of the software of the servers that start from now on.
	release int
	version int
	// acknowledgedAt is when the store acknowledged the version; in the future as long as
	// it has not.
	acknowledgedAt time.Time
	keys           map[string]string
	// revokedIn holds the organisations whose keys were removed, with the first
	// version without them.
	revokedIn map[string]int
	// drainingSince is when the store acknowledged that a server is draining, by
	// the server's ID.
	drainingSince map[string]time.Time
	// evacuatedSince is when the store acknowledged the evacuation of a data centre.
	evacuatedSince map[string]time.Time
}

// centres are the data centres of the servers. Each has servers of both services.
var centres = []string{"west", "east"}

func newEnvironment(c Config, o *observer, isQuiet func(time.Duration) bool, stall func() time.Duration) (*environment, error) {
	e := &environment{
		config: c, observer: o, isQuiet: isQuiet, stall: stall, store: clemstandin.NewProvider(), keys: map[string]string{probeOrganisation: "key-" + probeOrganisation},
		revokedIn: map[string]int{}, drainingSince: map[string]time.Time{}, evacuatedSince: map[string]time.Time{},
	}
	for n := range organisations {
		e.keys[organisation(n)] = "key-" + organisation(n)
	}
	var err error
	if e.storeServer, e.storeAddress, err = serveOn(e.store); err != nil {
		return nil, err
	}
	for n := range 2 * c.Servers {
		s := &serverSlot{service: []string{serviceApp, serviceStream}[n%2], centre: centres[n/2%len(centres)]}
		if s.link, err = newLink(""); err != nil {
			return nil, err
		}
		e.slots = append(e.slots, s)
		if err := e.startServer(s, ""); err != nil {
			return nil, err
		}
	}
	return e, e.configure()
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

func (e *environment) close() {
	e.mu.Lock()
	slots := slices.Concat(e.slots, e.added)
	e.mu.Unlock()
	for _, s := range slots {
		s.link.close()
		_ = s.http.Close()
	}
	_ = e.storeServer.Close()
}

// replaceLock returns the lock that is held while a server of the service is
// replaced.
func (e *environment) replaceLock(service string) *sync.Mutex {
	if service == serviceApp {
		return &e.replaceLocks[0]
	}
	return &e.replaceLocks[1]
}

// backend returns the current server of a slot.
func (e *environment) backend(s *serverSlot) *clemstandin.Backend {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.server
}

// startServer starts a new server at a slot and adds it to the store's list. Without an id
// it gets a new one.
func (e *environment) startServer(s *serverSlot, id string) error {
	e.mu.Lock()
	e.serverCount++
	n := e.serverCount
	version := fmt.Sprintf("v%d", e.release)
	if id != "" {
		version = s.server.Version()
	}
	e.mu.Unlock()
	if id == "" {
		id = fmt.Sprintf("i-%03d", n)
	}
	config := clemstandin.BackendConfig{
		ID: id, Service: s.service, Centre: s.centre, Version: version, Slots: appSlots, WorkTime: callTime, SlowPrefix: kinds[kindSlow].prefix, SlowTime: slowTime, Seed: e.config.Seed + uint64(n),
		OnRunEnded: e.observer.recordRunEnd,
		ColdTime:   coldTime, OnColdRequest: func(server string, inLastSecond int) { e.checkCold(s, server, inLastSecond) },
	}
	if s.service == serviceStream {
		config.Slots, config.WorkTime, config.SlowPrefix, config.EventCount = streamSlots, eventInterval, "", streamEvents
	}
	config.OnRunStarted = e.onRunStart
	config.OnRequest = func(request, service string) {
		e.observer.recordArrival(request, service)
		isCalm := !e.config.SkipTimeBounds && e.isServerQuietFor(config.ID, minQuietTime) && e.isQuiet(minQuietTime)
		e.observer.checkStatements(request, config.ID, isCalm, restTime+e.stall())
	}
	config.OnResting = func(request string, until time.Time) { e.observer.recordRest(request, config.ID, until) }
	server := clemstandin.NewBackend(config)
	listening, address, err := serveOn(server)
	if err != nil {
		return err
	}
	e.mu.Lock()
	s.server, s.http = server, listening
	e.mu.Unlock()
	s.link.setTarget(address)
	return e.putRow(s, rowReady)
}

// addServer starts another server of a service. The returned function removes its row: the
// server serves on until the soak ends, and never says that it leaves. The load bound is not
// checked while there is a row.
func (e *environment) addServer(service, centre string) (remove func(), err error) {
	s := &serverSlot{service: service, centre: centre}
	if s.link, err = newLink(""); err != nil {
		return nil, err
	}
	if err := e.startServer(s, ""); err != nil {
		s.link.close()
		return nil, err
	}
	end := e.serversQuiet.beginFault()
	e.mu.Lock()
	e.added = append(e.added, s)
	e.mu.Unlock()
	return func() {
		id := e.backend(s).ID()
		e.store.DeleteServer(id)
		e.mu.Lock()
		e.drainingSince[id] = time.Now()
		e.mu.Unlock()
		end()
	}, nil
}

// The states of a server's row.
const rowReady, rowDraining = "ready", "draining"

// putRow writes the row of the slot's server in a new state, which later heartbeats repeat.
func (e *environment) putRow(s *serverSlot, state string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.rowState = state
	return e.store.PutServer(s.server, s.link.address(), state == rowDraining)
}

// stopRow ends the heartbeats of the slot's server.
func (e *environment) stopRow(s *serverSlot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.rowState = ""
}

// writeHeartbeats writes the rows of all servers at the interval of the platform.
func (e *environment) writeHeartbeats(ctx context.Context) {
	for sleep(ctx, heartbeatInterval) {
		for _, s := range e.slots {
			e.mu.Lock()
			if s.rowState != "" {
				_ = e.store.PutServer(s.server, s.link.address(), s.rowState == rowDraining)
			}
			e.mu.Unlock()
		}
	}
}

// checkCold checks the number of requests that a cold server received within a second. A
// link that held bytes back may deliver in a second what was sent in several.
func (e *environment) checkCold(s *serverSlot, server string, inLastSecond int) {
	if e.config.SkipTimeBounds || e.stall() > maxColdStall || !s.linkQuiet.isQuietFor(minQuietTime) {
		return
	}
	limit := coldPerS*bounds.ColdFactor + bounds.ColdSlack
	e.observer.check(PromiseColdServers, float64(inLastSecond) <= limit, "%s is cold and got %d requests in a second, %g are allowed", server, inLastSecond, limit)
}

// onRunStart checks the start of a run against the servers' draining state and
// load.
func (e *environment) onRunStart(run clemstandin.Run) {
	e.observer.recordRunStart(run)
	e.mu.Lock()
	since, isDraining := e.drainingSince[run.Server]
	e.mu.Unlock()
	if isDraining && !e.config.SkipTimeBounds {
		e.observer.check(PromiseServerDrain, !e.isDue(since, maxDrainDelay) || !e.isQuiet(minQuietTime), "%s runs at %s %s after its leaving was taken", run.RequestID, run.Server, time.Since(since))
	}
	e.checkEvacuation(run)
	if run.Service == serviceStream && e.isQuiet(minQuietTime) && e.serversQuiet.isQuietFor(boundQuietTime) {
		active, total, servers := 0, 0, 0
		for _, b := range e.backends(serviceStream) {
			if b.ID() == run.Server {
				active = b.ActiveRequests()
			}
			total, servers = total+b.ActiveRequests(), servers+1
		}
		e.observer.recordLoad(active, float64(total)/float64(max(servers, 1)), bounds.MaxLoadFactor, boundSlack)
	}
}

// checkEvacuation checks that the run is not at a server of an evacuated data centre. A
// link that holds requests back may deliver them later.
func (e *environment) checkEvacuation(run clemstandin.Run) {
	e.mu.Lock()
	centre := ""
	for _, s := range e.slots {
		if s.server.ID() == run.Server {
			centre = s.centre
		}
	}
	since, isEvacuated := e.evacuatedSince[centre]
	e.mu.Unlock()
	if isEvacuated && !e.config.SkipTimeBounds && e.isServerQuietFor(run.Server, minQuietTime) {
		e.observer.check(PromiseEvacuation, !e.isDue(since, maxEvacuationDelay) || !e.isQuiet(minQuietTime),
			"%s runs at %s in %s %s after its evacuation was taken", run.RequestID, run.Server, centre, time.Since(since))
	}
}

// evacuate evacuates a data centre until the returned function is called.
func (e *environment) evacuate(centre string) (withdraw func(), err error) {
	if err := e.store.Evacuate(centre); err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.evacuatedSince[centre] = time.Now()
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		delete(e.evacuatedSince, centre)
		e.mu.Unlock()
		e.store.WithdrawEvacuation(centre)
	}, nil
}

// isServerQuietFor reports whether the server is running and no fault of its own or of
// the link to it was active within the given time before now.
func (e *environment) isServerQuietFor(id string, span time.Duration) bool {
	for _, s := range e.slots {
		if e.backend(s).ID() == id {
			return s.isQuietFor(span)
		}
	}
	return false
}

// isDue reports whether entries free of faults must have applied a change that
// the store acknowledged at the given time.
func (e *environment) isDue(acknowledged time.Time, within time.Duration) bool {
	return time.Since(acknowledged) > within+e.stall() && e.storeQuiet.isQuietFor(minQuietTime)
}

// backends returns the servers of a service.
func (e *environment) backends(service string) []*clemstandin.Backend {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []*clemstandin.Backend
	for _, s := range e.slots {
		if s.service == service {
			found = append(found, s.server)
		}
	}
	return found
}

// configure writes the next version of the configuration. Each version has a route
// of its own, which shows what version is in force.
func (e *environment) configure() error {
	e.mu.Lock()
	e.beginVersion()
	m := clemstandin.ProviderConfiguration{
		Version: e.version, Host: host, Services: []string{serviceApp, serviceStream}, APIKeys: maps.Clone(e.keys),
		TimeoutMS: timeoutMS, LatencyTargetMS: objectiveMS, ColdStartS: coldTime.Seconds(), ColdPerS: coldPerS,
	}
	e.mu.Unlock()
	for k, info := range kinds[:kindProbe] {
		route := clemstandin.Route{
			Prefix: info.prefix, Type: info.route, Service: info.service, MaxAttempts: info.attempts,
			Resumable: info.events > 0 && info.idempotent, SessionAffinity: info.events > 0,
		}
		if kind(k) == kindSlow {
			route.TimeoutMS = slowTimeoutMS
		}
		m.Routes = append(m.Routes, route)
	}
	m.Routes = append(m.Routes, clemstandin.Route{Prefix: versionPath(m.Version), Type: "safe", Service: serviceApp, MaxAttempts: kinds[kindProbe].attempts})
	err := e.store.Configure(m)
	e.acknowledge(m.Version)
	return err
}

// beginVersion begins the next version, which the store has yet to acknowledge. The
// caller holds mu.
func (e *environment) beginVersion() {
	e.version++
	e.acknowledgedAt = time.Now().Add(time.Hour)
}

// acknowledge records that the store acknowledged a version.
func (e *environment) acknowledge(version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version == e.version {
		e.acknowledgedAt = time.Now()
	}
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// current returns the newest version and when it was acknowledged.
func (e *environment) current() (int, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.acknowledgedAt
}

// addKey adds an organisation with a key until removeKey removes it.
func (e *environment) addKey(name string) error {
	e.mu.Lock()
	e.keys[name] = "key-" + name
	e.mu.Unlock()
	return e.configure()
}

func (e *environment) removeKey(name string) error {
	e.mu.Lock()
	delete(e.keys, name)
	e.revokedIn[name] = e.version + 1
	e.mu.Unlock()
	return e.configure()
}

// revokedKeys returns the organisations whose keys were removed, with the first
// version without them.
func (e *environment) revokedKeys() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.revokedIn)
}

// crash stops a slot's server at once. Its row in the store remains until restart
// removes it.
func (e *environment) crash(s *serverSlot) {
	e.serversQuiet.recordFault()
	s.recordFault()
	s.link.setTarget("")
	s.link.reset()
	e.mu.Lock()
	s.rowState = ""
	listening := s.http
	e.mu.Unlock()
	_ = listening.Close()
}

// replace lists the slot's server as draining, removes it after a while and starts
// another one at the same address. If announces is set, the server's responses say so
// before its row does.
func (e *environment) replace(ctx context.Context, s *serverSlot, announces bool) error {
	e.serversQuiet.recordFault()
	e.mu.Lock()
	old, listening := s.server, s.http
	e.mu.Unlock()
	if announces {
		old.Leave()
		sleep(ctx, announcedTime)
	}
	old.Drain()
	if err := e.putRow(s, rowDraining); err != nil {
		return err
	}
	e.mu.Lock()
	e.drainingSince[old.ID()] = time.Now()
	e.mu.Unlock()
	sleep(ctx, drainingTime)
	e.stopRow(s)
	e.store.DeleteServer(old.ID())
	sleep(ctx, addressReuseDelay)
	s.recordFault()
	s.link.setTarget("")
	_ = listening.Close()
	e.serversQuiet.recordFault()
	return e.startServer(s, "")
}

// restart removes a crashed server's row and starts another server.
func (e *environment) restart(ctx context.Context, s *serverSlot) error {
	e.mu.Lock()
	old := s.server
	e.mu.Unlock()
	sleep(ctx, addressReuseDelay)
	e.store.DeleteServer(old.ID())
	e.serversQuiet.recordFault()
	return e.startServer(s, "")
}

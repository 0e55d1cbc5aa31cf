// Package clemorigin knows which version of the backend servers' software began each
// stream, so that a stream that is taken up goes on at a server of that version.
//
// An entry remembers the streams that it began for a time. While a service has servers of
// several versions it also writes them to the platform's store, in one row for each of its
// processes, so that they outlast the process. The row lists the versions in service too: a
// stream that no row names can go on if there was one version only.
package clemorigin

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clempool"
)

const (
	// memoryTime is how long a stream can be taken up after its first event, and so how long
	// its origin and the versions in service are remembered. Clients wait for less.
	memoryTime = time.Minute
	// maxStreams bounds the streams that an entry remembers.
	maxStreams = 16384
	// restartLag is the time within which the row of a restarted server shows the restart:
	// three heartbeats.
	restartLag = 4 * time.Second
	// rowWait is how long streams begin at servers of a version only if the store has a row
	// that lists it, provided that there are others.
	rowWait = time.Second
	// reportedTime is how long a row names a stream that a peer reported: the peer writes it
	// itself unless it has ended.
	reportedTime = 10 * time.Second
	keySize      = 8
)

// Key identifies a stream by the organisation and the request that began it.
type Key uint64

// NewKey returns the key of the stream that a request of an organisation began.
func NewKey(organisation, request string) Key {
	sum := sha256.Sum256([]byte(strconv.Quote(organisation) + request))
	return Key(binary.BigEndian.Uint64(sum[:]))
}

// Origin is where a stream began. Version is "" if it is not known.
type Origin struct{ Service, Version string }

func (o Origin) compare(other Origin) int {
	return cmp.Or(cmp.Compare(o.Service, other.Service), cmp.Compare(o.Version, other.Version))
}

// Config describes a Tracker to construct.
type Config struct {
	// Name is the entry's name.
	Name string
	// Store is the platform's store. If it is nil the tracker knows only what this process
	// did, and Start must not be called.
	Store clementineturn.Store
	// Directory holds the backend servers.
	Directory *clempool.Directory
	// Entries returns the number of live entries, by which the rates of calls to the store
	// are divided.
	Entries func() int
	Events  *clemevent.Logger
	// Rand returns a random number from 0 to 1. If it is nil that of math/rand/v2 is used.
	Rand func() float64
}

// Tracker knows the origins of streams. It is safe for concurrent use.
type Tracker struct {
	config Config
	// rowKey is the key of this process's row.
	rowKey string
	// wake receives a value when the rows must be read.
	wake chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	streams map[Key]*stream
	// expiry holds the streams in the order in which they expire. A stream that was recorded
	// again is there twice.
	expiry []expiringStream
	// services holds the software versions of each service that are or were in service.
	services map[string]map[string]*softwareVersion
	// serverVersions holds the software version of each known server by its id, as of the
	// directory's change number scannedChanges.
	serverVersions map[string]string
	scannedChanges uint64
	// rows holds the rows of other processes by their keys.
	rows map[string]row
	// readVersion is the store's version up to which the rows are known, or 0.
	readVersion uint64
	// readers get the result of the next read.
	readers []chan bool
	// unsent holds the streams that messages to peers have still to name.
	unsent []unsentStream
	// written describes this process's row.
	written writtenRow
}

// stream is a stream that this entry began or resumed, or that a peer reported. The server is
// then "".
type stream struct {
	origin Origin
	server string
	at     time.Time
	// hasEnded is set once the client has the whole stream.
	hasEnded bool
}

type expiringStream struct {
	key Key
	at  time.Time
}

// softwareVersion is a version of a service's servers.
type softwareVersion struct {
	// firstAt and lastAt are when it was first and last known to be in service, listedAt when
	// this entry's list last had a server of it. isListed is set if the list has one.
	firstAt, lastAt, listedAt time.Time
	isListed                  bool
	// isInRow is set if the row of this process lists it.
	isInRow bool
}

// New returns a tracker that knows no streams.
func New(c Config) *Tracker {
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	process := strconv.FormatUint(rand.Uint64(), 36)
	return &Tracker{
		config: c, rowKey: c.Name + "/" + process, wake: make(chan struct{}, 1),
		streams: map[Key]*stream{}, services: map[string]map[string]*softwareVersion{}, serverVersions: map[string]string{}, rows: map[string]row{},
	}
}

// scan brings the versions in service up to date with the directory.
func (t *Tracker) scan(now time.Time) {
	changes := t.config.Directory.Changes()
	t.mu.Lock()
	isCurrent := changes == t.scannedChanges && len(t.serverVersions) > 0
	t.mu.Unlock()
	var records []clempool.Record
	if !isCurrent {
		records = t.config.Directory.Records()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isCurrent && changes >= t.scannedChanges {
		t.scannedChanges = changes
		t.setServers(records, now)
	}
	for service, versions := range t.services {
		for name, v := range versions {
			switch {
			case v.isListed:
				v.lastAt, v.listedAt = now, now
			case now.Sub(v.lastAt) > memoryTime:
				delete(versions, name)
			}
		}
		if len(versions) == 0 {
			delete(t.services, service)
		}
	}
}

// setServers applies the records of all servers. The caller holds mu.
func (t *Tracker) setServers(records []clempool.Record, now time.Time) {
	for _, versions := range t.services {
		for _, v := range versions {
			v.isListed = false
		}
	}
	known := t.serverVersions
	t.serverVersions = make(map[string]string, len(records))
	for _, r := range records {
		t.serverVersions[r.ID()] = r.SoftwareVersion()
		t.addVersion(r.Service(), r.SoftwareVersion(), now).isListed = true
		if before, isKnown := known[r.ID()]; isKnown && before != r.SoftwareVersion() {
			t.doubtStreams(r.ID(), now)
		}
	}
}

// addVersion returns a version of a service, which is in service now. The caller holds mu.
func (t *Tracker) addVersion(service, version string, now time.Time) *softwareVersion {
	versions := t.services[service]
	if versions == nil {
		versions = map[string]*softwareVersion{}
		t.services[service] = versions
	}
	v := versions[version]
	if v == nil {
		v = &softwareVersion{firstAt: now}
		versions[version] = v
	}
	v.lastAt = now
	return v
}

// doubtStreams forgets the versions of the streams that began lately at a server that has
// started again with another one. The caller holds mu.
func (t *Tracker) doubtStreams(server string, now time.Time) {
	for _, s := range t.streams {
		if s.server == server && now.Sub(s.at) < restartLag {
			s.origin.Version = ""
			t.written.hasUnwritten = true
		}
	}
}

// isMixed reports whether the service has or lately had servers of several versions. The
// caller holds mu.
func (t *Tracker) isMixed(service string) bool { return len(t.services[service]) > 1 }

// Record records where a stream begins or goes on, before its events are sent to the client.
func (t *Tracker) Record(key Key, origin Origin, server string) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(key, origin, server, now)
	t.queueMessage(key, t.streams[key].origin)
}

// record records the origin of a stream. The server is "" if a peer reported it. The caller
// holds mu.
func (t *Tracker) record(key Key, origin Origin, server string, now time.Time) {
	s := t.streams[key]
	switch {
	case s == nil:
		s = &stream{origin: origin}
		t.streams[key] = s
	case s.origin != origin:
		// Two requests with one id: nobody can tell which of them is resumed.
		s.origin.Version = ""
	}
	s.server, s.at, s.hasEnded = server, now, false
	t.written.hasUnwritten = true
	t.expiry = append(t.expiry, expiringStream{key, now})
	for len(t.expiry) > maxStreams || len(t.expiry) > 0 && now.Sub(t.expiry[0].at) > memoryTime {
		if first := t.expiry[0]; t.streams[first.key] != nil && t.streams[first.key].at.Equal(first.at) {
			delete(t.streams, first.key)
		}
		t.expiry = t.expiry[1:]
	}
}

// End records that a client has a stream wholly, so that rows need not name it.
func (t *Tracker) End(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.streams[key]; s != nil {
		s.hasEnded = true
	}
}

// Begin returns a filter of the versions at which a stream of the service may begin now, or
// nil if it may at all. A version that no row in the store lists yet is left out for a while:
// after a restart of all entries nobody would know that there were streams of it.
func (t *Tracker) Begin(service string) func(version string) bool {
	now := time.Now()
	t.scan(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	accepted, leftOut := map[string]bool{}, 0
	for name, v := range t.services[service] {
		switch {
		case !v.isListed:
		case v.isInRow || now.Sub(v.firstAt) > rowWait:
			accepted[name] = true
		default:
			leftOut++
		}
	}
	if leftOut == 0 || len(accepted) == 0 {
		return nil
	}
	return func(version string) bool { return accepted[version] }
}

// Resume returns a filter of the version at which a stream that this entry has begun may go
// on. A stream of an unknown version goes on nowhere.
func (t *Tracker) Resume(key Key) func(version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := ""
	if s := t.streams[key]; s != nil {
		known = s.origin.Version
	}
	return func(version string) bool { return known != "" && version == known }
}

// answer is what is known of the origin of a stream.
type answer uint8

const (
	answerUnknown answer = iota
	answerKnown
	// answerSingle is a service that has had servers of one version only.
	answerSingle
)

// find returns the origin of a stream of the service, as far as known.
func (t *Tracker) find(key Key, service string) (Origin, answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Origin
	if s := t.streams[key]; s != nil {
		found = append(found, s.origin)
	}
	for _, r := range t.rows {
		if origin, ok := r.origins[key]; ok {
			found = append(found, origin)
		}
	}
	for _, origin := range found {
		if origin != found[0] || origin.Version == "" {
			return Origin{Service: service}, answerKnown
		}
	}
	if len(found) > 0 {
		return found[0], answerKnown
	}
	if !t.isMixed(service) {
		for version := range t.services[service] {
			return Origin{Service: service, Version: version}, answerSingle
		}
	}
	return Origin{Service: service}, answerUnknown
}

// Find returns the origin of a stream of the service that a client takes up. What this entry
// does not know it looks up in the store, where another entry writes it within the time of
// two writes. Errors: KindUnavailable, with NotRun, if the version that began the stream is
// not known.
func (t *Tracker) Find(ctx context.Context, key Key, service string) (Origin, error) {
	began := time.Now()
	for {
		t.scan(time.Now())
		origin, found := t.find(key, service)
		isRead := false
		if found != answerKnown {
			isRead = t.awaitRead(ctx)
			origin, found = t.find(key, service)
		}
		switch {
		case found != answerUnknown && origin.Version == "":
			return Origin{}, clementineturn.Refuse(clementineturn.KindUnavailable, "the stream began at an unknown version of service %s", service)
		case found == answerKnown, found == answerSingle && (isRead || t.isListCurrent(began)):
			return origin, nil
		case ctx.Err() != nil, time.Since(began) > maxSettleTime, found == answerUnknown && time.Since(began) > t.settleTime():
			return Origin{}, clementineturn.Refuse(clementineturn.KindUnavailable, "it is not known which version of service %s began the stream", service)
		}
	}
}

// isListCurrent reports whether the list of servers shows that there was one version only at
// the given time: it was read since, by a peer if the store refuses this entry. What there was
// before the start of this process only the rows show.
func (t *Tracker) isListCurrent(at time.Time) bool {
	readAt := t.config.Directory.ListReadAt()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readVersion > 0 && readAt.After(at)
}

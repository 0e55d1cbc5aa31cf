package clempool

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconn"
)

const (
	// boundMargin is the part of the promised multiple of the mean that is used;
	// the rest covers requests that other entries sent since they last told.
	boundMargin = 0.95
	// boundFloor is what a server may carry beyond the multiple, as promised.
	boundFloor = 3
	// plainQueue is the number of requests for each slot that a plain server
	// may hold: with more a request waits longer than several of its kind take.
	plainQueue = 3.0
	// engineQueue is the same for engines, whose batch slows as it fills.
	engineQueue = 1.25
	// fullRetry is the time after which a full service is worth another try.
	fullRetry = 300 * time.Millisecond
)

// Config describes a Directory to construct.
type Config struct {
	// Multiple returns how many times its service's mean load a server may carry.
	Multiple func() float64
	// Centre is the data centre of this entry.
	Centre string
	// Dial opens a connection; nil takes clemconn.Dial.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Draw returns a random number; equal choices are made by it.
	Draw func() uint64
	// Ejected, if set, is called after a server was ejected by an outcome.
	Ejected func(id string, outcome Outcome, failures float64, until time.Time)
}

// Directory holds the backend servers. It is safe for concurrent use.
type Directory struct {
	config Config

	// mu guards everything below.
	mu       sync.Mutex
	servers  map[string]*server
	services map[string]*service
	// told is what each other entry told last. The servers' counts of others
	// are its sums. expires is when the first of it does, if none is renewed.
	told    map[string]told
	expires time.Time
	news    news
}

// told is what another entry said of its requests.
type told struct {
	until     time.Time
	standings map[string]Standing
}

type server struct {
	record  Record
	digest  uint64
	pool    *clemconn.Pool
	running int
	others  int
	// unread are the prompt tokens that this entry's requests still have to
	// wait for, othersUnread those of other entries' requests.
	unread, othersUnread int
	load                 clementineturn.Load
	health               health
	// kept are the parts of prompts that the server has read or will have read
	// by the time, by digest.
	kept map[uint64]time.Time
}

// wait returns the time that prompts take that are to be read at the server.
func (s *server) wait() time.Duration { return time.Duration(s.unread+s.othersUnread) * readToken }

type service struct {
	servers []*server
	// shares are what organisations have at this entry, running their sum.
	// pruned is when those that are gone were last dropped.
	shares  map[string]*share
	running int
	pruned  time.Time
}

// New returns an empty directory.
func New(c Config) *Directory {
	return &Directory{
		config: c, servers: map[string]*server{}, services: map[string]*service{}, told: map[string]told{},
	}
}

// Put adds a server or what changed of it, and reports whether anything did.
func (d *Directory) Put(record Record) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.servers[record.ID()]
	if old != nil && old.record == record {
		return false
	}
	if old != nil && old.record.Address() == record.Address() && old.record.Service() == record.Service() &&
		old.record.Incarnation() == record.Incarnation() {
		old.record = record
		return true
	}
	d.remove(record.ID())
	added := &server{
		record: record, digest: xxhash.Sum64String(record.ID()),
		pool: clemconn.New(clemconn.Config{Address: record.Address(), Dial: d.config.Dial}),
		kept: map[uint64]time.Time{},
	}
	for _, t := range d.told {
		added.count(t.standings[record.ID()], 1)
	}
	d.servers[record.ID()] = added
	s := d.services[record.Service()]
	if s == nil {
		s = &service{shares: map[string]*share{}}
		d.services[record.Service()] = s
	}
	s.servers = append(s.servers, added)
	return true
}

// Remove drops a server, and reports whether there was one.
func (d *Directory) Remove(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.remove(id)
}

func (d *Directory) remove(id string) bool {
	old := d.servers[id]
	if old == nil {
		return false
	}
	delete(d.servers, id)
	s := d.services[old.record.Service()]
	s.servers = slices.DeleteFunc(s.servers, func(o *server) bool { return o == old })
	old.pool.Close()
	return true
}

// Len returns the number of servers.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.servers)
}

// Standing is what one entry has at a server: running requests, and the
// outcomes of the last seconds.
type Standing struct {
	Running int
	// Unread are the prompt tokens of requests that have no first event yet.
	Unread       int
	Good, Failed float64
}

// leastTold is the number of outcomes below which they are not told.
const leastTold = 0.02

// Standings returns what this entry has at the servers, the idle ones left
// out. Good outcomes alone are told only of servers that fail others' requests.
func (d *Directory) Standings(now time.Time) map[string]Standing {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	standings := map[string]Standing{}
	for id, s := range d.servers {
		s.health.own.decay(now)
		own := s.health.own
		if s.running > 0 || own.failed > leastTold || own.good > leastTold && s.health.others.failed > leastTold {
			standings[id] = Standing{Running: s.running, Unread: s.unread, Good: own.good, Failed: own.failed}
		}
	}
	return standings
}

// Tell notes what another entry has at the servers, which is believed for the
// given time. A server that turns out to be sick by it is ejected.
func (d *Directory) Tell(entry string, standings map[string]Standing, now time.Time, valid time.Duration) {
	d.mu.Lock()
	d.forget(entry)
	d.told[entry] = told{until: now.Add(valid), standings: standings}
	if d.told[entry].until.Before(d.expires) {
		d.expires = d.told[entry].until
	}
	for id, standing := range standings {
		if s := d.servers[id]; s != nil {
			s.count(standing, 1)
		}
	}
	d.expire(now)
	var ejected []*server
	for id, standing := range standings {
		if s := d.servers[id]; s != nil && standing.Failed > 0 && d.isSick(s, now) && s.health.eject(now) {
			ejected = append(ejected, s)
		}
	}
	d.mu.Unlock()
	for _, s := range ejected {
		d.tellEjected(s, OutcomeFailed, now)
	}
}

// forget takes what another entry told out of the servers' counts.
func (d *Directory) forget(entry string) {
	for id, standing := range d.told[entry].standings {
		if s := d.servers[id]; s != nil {
			s.count(standing, -1)
		}
	}
	delete(d.told, entry)
}

// expire forgets what is too old. It must come before any use of the counts:
// an entry that hears nobody would keep the last ones.
func (d *Directory) expire(now time.Time) {
	if !now.After(d.expires) {
		return
	}
	d.expires = now.Add(time.Hour)
	for entry, t := range d.told {
		switch {
		case now.After(t.until):
			d.forget(entry)
		case t.until.Before(d.expires):
			d.expires = t.until
		}
	}
}

// count adds what another entry has at the server, or takes it away.
func (s *server) count(standing Standing, sign int) {
	s.others += sign * standing.Running
	s.othersUnread += sign * standing.Unread
	s.health.others.good += float64(sign) * standing.Good
	s.health.others.failed += float64(sign) * standing.Failed
}

// tellEjected passes an ejection on.
func (d *Directory) tellEjected(s *server, outcome Outcome, now time.Time) {
	if d.config.Ejected == nil {
		return
	}
	d.mu.Lock()
	share, _ := s.health.share(now)
	until := s.health.until
	d.mu.Unlock()
	d.config.Ejected(s.record.ID(), outcome, share, until)
}

package clempool

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconn"
	"github.com/clementineturn/clementineturn/clemrank"
)

// Want describes a request for which a server is chosen.
type Want struct {
	Service string
	// Shared are the parts of the prompt that other requests have, too, the
	// last of them the chat's own. Without any, the least load decides.
	Shared []clementineturn.Part
	// Input is the number of the prompt's tokens.
	Input int
	// Idempotent is set if the request may be repeated.
	Idempotent bool
	// Organisation is whom the request is served for, or "".
	Organisation string
	// Tried are the ids of servers that were tried for the request.
	Tried []string
}

// Lease is a request's place at a server. It must be given back by Done.
type Lease struct {
	directory *Directory
	server    *server
	group     *service
	// organisation is whom the request is served for.
	organisation string
	pool         *clemconn.Pool
	id           string
	source       string
	unread       int
	kept         int
	wait         time.Duration
	load         int
	mean         float64
	rank         int
}

// Pool returns the connections to the server.
func (l *Lease) Pool() *clemconn.Pool { return l.pool }

// Server returns the server's id.
func (l *Lease) Server() string { return l.id }

// Source returns the address of a server that keeps shared parts of the prompt
// which this one lacks, or "".
func (l *Lease) Source() string { return l.source }

// Kept returns the tokens of the prompt that the server was thought to keep.
func (l *Lease) Kept() int { return l.kept }

// Wait returns the time that prompts took that were to be read there before.
func (l *Lease) Wait() time.Duration { return l.wait }

// Load returns the requests that the server had when it was chosen, as far as known.
func (l *Lease) Load() int { return l.load }

// Mean returns the mean load of the service when the server was chosen.
func (l *Lease) Mean() float64 { return l.mean }

// Rank returns the place of the server in the order of preference, 0 the first.
func (l *Lease) Rank() int { return l.rank }

// Started notes that the answer began: the prompt is read.
func (l *Lease) Started() {
	l.directory.mu.Lock()
	defer l.directory.mu.Unlock()
	l.server.unread -= l.unread
	l.unread = 0
}

// Done gives the place back and counts the outcome; the load may be nil.
func (l *Lease) Done(outcome Outcome, load *clementineturn.Load, now time.Time) {
	d, s := l.directory, l.server
	d.mu.Lock()
	d.expire(now)
	s.running--
	l.group.leave(l.organisation)
	s.unread -= l.unread
	l.unread = 0
	if load != nil {
		s.load = *load
	}
	ejected := s.health.note(outcome, now) || outcome == OutcomeFailed && d.isSick(s, now) && s.health.eject(now)
	d.mu.Unlock()
	if ejected {
		d.tellEjected(s, outcome, now)
	}
}

// Take chooses a server and counts the request there. Errors: KindOverloaded
// and KindUnavailable, both not run.
func (d *Directory) Take(w Want, now time.Time) (*Lease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	s := d.services[w.Service]
	if s == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "service %s has no backend server", w.Service)
	}
	choice := d.candidates(s, w, now)
	if len(choice.servers) == 0 {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "service %s has no backend server left to try", w.Service)
	}
	if s.isSurge(choice, w, now) {
		return nil, clementineturn.NewError(clementineturn.ErrorConfig{
			Kind: clementineturn.KindOverloaded, NotRun: true, Retry: surgeRetry,
			Message: "service " + w.Service + " is busy and organisation " + w.Organisation + " has more than its share of it",
		})
	}
	var chosen *server
	rank := 0
	if len(w.Shared) > 0 {
		chosen, rank = d.near(s, choice, w, now)
	} else {
		chosen = d.least(choice)
	}
	if chosen == nil {
		return nil, clementineturn.NewError(clementineturn.ErrorConfig{
			Kind: clementineturn.KindOverloaded, NotRun: true, Retry: fullRetry,
			Message: "every backend server of service " + w.Service + " is full",
		})
	}
	lease := &Lease{
		directory: d, server: chosen, group: s, organisation: w.Organisation, pool: chosen.pool, id: chosen.record.ID(),
		load: chosen.running + chosen.others, mean: choice.mean, rank: rank,
	}
	if source := d.source(s, chosen, w, now); source != nil {
		lease.source = source.record.Address()
	}
	lease.kept, lease.wait = chosen.keepsOf(w.Service, w.Shared, ever(now)), chosen.wait()
	lease.unread = max(w.Input-lease.kept, 0)
	chosen.unread += lease.unread
	d.note(chosen, rank, w, now)
	chosen.running++
	s.enter(w.Organisation)
	return lease, nil
}

// choice is what a server is chosen from.
type choice struct {
	servers []*server
	// mean is the mean load of all servers of the service, leaving ones included.
	mean float64
}

// candidates returns the servers that may take the request. Sick servers
// count as long as the sound ones have not enough room without them.
func (d *Directory) candidates(s *service, w Want, now time.Time) choice {
	var all, reached, sound []*server
	total, slots := 0, 0
	for _, server := range s.servers {
		total += server.running + server.others
		if server.record.Leaving() {
			continue
		}
		isOut := server.health.isOut(now, server.running, w.Idempotent)
		if !isOut {
			slots += server.record.Slots()
		}
		if slices.Contains(w.Tried, server.record.ID()) {
			continue
		}
		all = append(all, server)
		if !isOut || !server.health.isUnreached {
			reached = append(reached, server)
		}
		if !isOut {
			sound = append(sound, server)
		}
	}
	c := choice{servers: sound, mean: float64(total) / float64(max(len(s.servers), 1))}
	if len(sound) == 0 || float64(total) > roomyShare*float64(slots) {
		c.servers = reached
	}
	if len(c.servers) == 0 {
		c.servers = all
	}
	return c
}

const (
	// readToken is the time in which an engine reads one token of a prompt.
	readToken = 14 * time.Microsecond
	// calmWait is the time that a prompt may wait for others to be read without
	// its answer being late: a quarter of a usual objective.
	calmWait = 150 * time.Millisecond
	// twiceRead is how many times as dear a prompt is that another server reads
	// at the moment: it cannot be fetched yet, and would be read twice.
	twiceRead = 5
	// rankCost is the time that a place in the chat's order of preference
	// counts: entries that know nothing yet choose alike by it.
	rankCost = 120 * time.Millisecond
	// loadCost is what each request above the mean of the service costs: an
	// engine makes tokens more slowly the more requests it runs, and a server
	// near the bound goes over it by requests that other entries just sent. It
	// is the time in which an engine reads some 570 tokens.
	loadCost = 8 * time.Millisecond
	// homes is the number of servers, in a chat's order of preference, that are
	// weighed beside those that keep its prompt.
	homes = 3
)

// near returns the server that costs a request the least time: the prompts
// that are read there before, above a calm wait, and what it must read or
// fetch itself. Among equal ones the chat's order of preference decides, so
// that all entries choose alike. Only servers with room under the bound count,
// unless none has: so it may be while sick ones are left out, which hold little.
func (d *Directory) near(group *service, c choice, w Want, now time.Time) (*server, int) {
	chat := Digest(w.Service, w.Shared[len(w.Shared)-1].ID())
	order := slices.Clone(c.servers)
	clemrank.Order(order, chat, func(s *server) uint64 { return s.digest })
	bound := boundMargin*d.config.Multiple()*c.mean + boundFloor
	shared := 0
	for _, part := range w.Shared {
		shared += part.Tokens()
	}
	perToken := readToken
	if group.isBeingRead(w, now) {
		perToken *= twiceRead
	}
	var best, idlest *server
	bestRank, bestCost, weighed := 0, time.Duration(0), 0
	for rank, s := range order {
		load := float64(s.running + s.others)
		if load >= engineQueue*float64(s.record.Slots()) {
			continue
		}
		if idlest == nil || s.running+s.others < idlest.running+idlest.others {
			idlest = s
		}
		if load >= bound {
			continue
		}
		kept := s.keepsOf(w.Service, w.Shared, ever(now))
		if weighed >= homes && kept == 0 {
			continue
		}
		weighed++
		cost := max(s.wait()-calmWait, 0) + time.Duration(w.Input-kept)*perToken
		if kept < shared {
			cost += time.Duration(rank) * rankCost
		}
		cost += time.Duration(max(load-c.mean-1, 0) * float64(loadCost))
		if best == nil || cost < bestCost {
			best, bestRank, bestCost = s, rank, cost
		}
	}
	if best == nil {
		return idlest, len(order)
	}
	return best, bestRank
}

// least returns the server with the least load for its speed, one of the own
// data centre if several have it, or nil if all are full. Other entries'
// counts only tell whether a server is full: their requests have often ended
// by the time that the counts arrive, and all entries would follow them alike.
func (d *Directory) least(c choice) *server {
	var best *server
	var bestLoad, bestTie float64
	for _, s := range c.servers {
		if float64(s.running+s.others) >= plainQueue*float64(s.record.Slots()) {
			continue
		}
		load := float64(s.running)
		if slow := s.load.Slowness(); slow > 1 {
			load *= slow
		}
		tie := float64(d.config.Draw()%1024) / 1024
		if s.record.Centre() == d.config.Centre {
			tie--
		}
		if best == nil || load < bestLoad || load == bestLoad && tie < bestTie {
			best, bestLoad, bestTie = s, load, tie
		}
	}
	return best
}

// Digest returns the digest of a part of a service's prompts.
func Digest(service string, part uint64) uint64 { return xxhash.Sum64String(service) ^ part }

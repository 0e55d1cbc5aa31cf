package clempool

import (
	"slices"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// maxCachedPerServer bounds the cached parts tracked for one server; an
	// engine caches about as many prompts of some hundred tokens.
	// maxCachedTotal bounds those of all servers, at some 60 bytes each, and
	// minCachedPerServer is what each server may have in any case.
	maxCachedPerServer = 4096
	maxCachedTotal     = 1 << 17
	minCachedPerServer = 64
	// LargeFleetSize is the number of peers from which a fleet counts as large and
	// has several groups. To limit the traffic, entries of a large fleet report a part only if it
	// went to a server other than the first in the chat's rendezvous order,
	// which peers find by themselves. An entry that starts gets no cache
	// state from its peers there: each of them would send some 40 kB.
	LargeFleetSize = 32
	// maxLoggedParts bounds the log of cache updates that peers have yet to
	// receive. It has room for the inventories that one entry reads from the
	// engines after all entries restarted.
	maxLoggedParts = 8192
	// minFetchTokens is the number of tokens below which reading them again is
	// faster than setting up a transfer between engines.
	minFetchTokens = 64
	// firstTokenLatency is the time that an engine takes to begin a response, in
	// addition to the time to read the pending prompts.
	firstTokenLatency = 120 * time.Millisecond
)

// CachedPart is a prompt part that a server has in its prefix cache, or will
// have once it has read the prompt.
type CachedPart struct {
	Server string
	Part   uint64
}

// cacheLog is a bounded log of the cached parts that this entry learned of
// first, to be sent to its peers.
type cacheLog struct {
	parts []CachedPart
	// end is the number of parts ever added.
	end uint64
}

func (l *cacheLog) add(part CachedPart) {
	if len(l.parts) >= maxLoggedParts {
		l.parts = append(l.parts[:0], l.parts[maxLoggedParts/2:]...)
	}
	l.parts = append(l.parts, part)
	l.end++
}

// since returns the parts that were added after the given number, as far as
// they are still in the log, and the number to continue from.
func (l *cacheLog) since(number uint64) ([]CachedPart, uint64) {
	missing := min(l.end-min(number, l.end), uint64(len(l.parts)))
	return append([]CachedPart(nil), l.parts[uint64(len(l.parts))-missing:]...), l.end
}

// addCached records that the server has the part cached from the given time on,
// and reports whether the part is new.
func (d *Directory) addCached(s *server, part uint64, available time.Time) bool {
	if _, known := s.cached[part]; known {
		return false
	}
	if len(s.cached) >= max(minCachedPerServer, min(maxCachedPerServer, maxCachedTotal/len(d.servers))) {
		clear(s.cached)
	}
	s.cached[part] = available
	return true
}

// cachedTokens returns the number of tokens of the longest leading run of parts
// that the server has cached by the given time.
func (s *server) cachedTokens(service string, prefix []clementineturn.PromptPart, by time.Time) int {
	tokens := 0
	for _, part := range prefix {
		available, known := s.cached[PartDigest(service, part.ID())]
		if !known || available.After(by) {
			break
		}
		tokens += part.Tokens()
	}
	return tokens
}

// cachedDigests is cachedTokens for parts whose digests are known.
func (s *server) cachedDigests(digests []uint64, prefix []clementineturn.PromptPart, by time.Time) int {
	tokens := 0
	for i, digest := range digests {
		available, known := s.cached[digest]
		if !known || available.After(by) {
			break
		}
		tokens += prefix[i].Tokens()
	}
	return tokens
}

// isPrefilling reports whether a server is reading the last part of the prefix
// now.
func (s *service) isPrefilling(r Request, now time.Time) bool {
	part := PartDigest(r.Service, r.Prefix[len(r.Prefix)-1].ID())
	return slices.ContainsFunc(s.servers, func(o *server) bool {
		available, known := o.cached[part]
		return known && available.After(now)
	})
}

// cacheSource returns the server from which the chosen one can best fetch
// cached parts that it lacks, or nil if no transfer is worth its cost.
func (d *Directory) cacheSource(svc *service, chosen *server, r Request, now time.Time) *server {
	minTokens := chosen.cachedTokens(r.Service, r.Prefix, farFuture(now)) + minFetchTokens
	var best *server
	digests := d.scratch.digests[:0]
	for _, part := range r.Prefix {
		digests = append(digests, PartDigest(r.Service, part.ID()))
	}
	d.scratch.digests = digests
	for _, other := range svc.servers {
		if other == chosen || other.health.isUnreachable {
			continue
		}
		if tokens := other.cachedDigests(digests, r.Prefix, now); tokens >= minTokens {
			best, minTokens = other, tokens+1
		}
	}
	return best
}

// farFuture returns a time by which every pending prompt has been read.
func farFuture(now time.Time) time.Time { return now.Add(time.Hour) }

// recordPrefix records that the chosen server will have read the prefix. rank
// is its position in the chat's rendezvous order.
func (d *Directory) recordPrefix(chosen *server, rank int, r Request, now time.Time) {
	isLogged := rank > 0 || d.entryCount() <= LargeFleetSize
	available := now.Add(chosen.prefillWait() + firstTokenLatency)
	for _, part := range r.Prefix {
		digest := PartDigest(r.Service, part.ID())
		if d.addCached(chosen, digest, available) && isLogged {
			d.cacheLog.add(CachedPart{Server: chosen.record.ID(), Part: digest})
		}
	}
}

// CacheUpdates returns the parts that this entry logged after the given number,
// and the number to continue from.
func (d *Directory) CacheUpdates(since uint64) ([]CachedPart, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cacheLog.since(since)
}

// AddPeerCacheUpdates records parts that a peer reported as cached at a server.
func (d *Directory) AddPeerCacheUpdates(server string, parts []uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.servers[server]; s != nil {
		available := now.Add(s.prefillWait() + firstTokenLatency)
		for _, part := range parts {
			d.addCached(s, part, available)
		}
	}
}

// AddInventory records parts that a server itself reported as cached, and logs
// the new ones for the peers.
func (d *Directory) AddInventory(id string, parts []uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[id]
	if s == nil {
		return
	}
	for _, part := range parts {
		digest := PartDigest(s.record.Service(), part)
		if d.addCached(s, digest, now) {
			d.cacheLog.add(CachedPart{Server: id, Part: digest})
		}
	}
}

// Records returns the records of all servers.
func (d *Directory) Records() []Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	records := make([]Record, 0, len(d.servers))
	for _, s := range d.servers {
		records = append(records, s.record)
	}
	return records
}

package clempool

import (
	"slices"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// mostKept bounds the parts that are known of one server. An engine keeps
	// about as many prompts of some hundred tokens. allKept bounds those of all
	// servers, each of which takes some 60 bytes, and leastKept what a server
	// may have of it in any case.
	mostKept  = 4096
	allKept   = 1 << 17
	leastKept = 64
	// Crowd is the number of other entries from which on a fleet is large. Only
	// parts are told there that went to another server than the first in their
	// chat's order, which the others find by themselves, and an entry that
	// starts anew is not told what servers keep: each of the others has some
	// 40 kB of it, so that what is told grows with the fleet.
	Crowd = 32
	// mostNews bounds the news that other entries have not heard yet: what the
	// engines keep that one entry asks after all have started anew.
	mostNews = 8192
	// leastFetch is the number of tokens below which reading them again takes
	// less time than setting up a transfer between engines.
	leastFetch = 64
	// firstToken is the time that an engine takes to begin an answer.
	firstToken = 120 * time.Millisecond
)

// Kept is a part of a prompt that a server has read.
type Kept struct {
	Server string
	Part   uint64
}

// news is the log of parts that this entry sent to a server first.
type news struct {
	entries []Kept
	// end is the number of entries that there ever were.
	end uint64
}

func (n *news) add(k Kept) {
	if len(n.entries) >= mostNews {
		n.entries = append(n.entries[:0], n.entries[mostNews/2:]...)
	}
	n.entries = append(n.entries, k)
	n.end++
}

// since returns what came after the number, as far as it is still held, and the end.
func (n *news) since(number uint64) ([]Kept, uint64) {
	missing := min(n.end-min(number, n.end), uint64(len(n.entries)))
	return append([]Kept(nil), n.entries[uint64(len(n.entries))-missing:]...), n.end
}

// keep notes that the server will have read the part at the time, and reports
// whether that is new.
func (d *Directory) keep(s *server, part uint64, read time.Time) bool {
	if _, known := s.kept[part]; known {
		return false
	}
	if len(s.kept) >= max(leastKept, min(mostKept, allKept/len(d.servers))) {
		clear(s.kept)
	}
	s.kept[part] = read
	return true
}

// keepsOf returns the number of tokens of the shared parts that the server
// keeps, or will once it has read what waits there. A part counts only if all
// before it are kept, too.
func (s *server) keepsOf(service string, shared []clementineturn.Part, by time.Time) int {
	tokens := 0
	for _, part := range shared {
		read, known := s.kept[Digest(service, part.ID())]
		if !known || read.After(by) {
			break
		}
		tokens += part.Tokens()
	}
	return tokens
}

// isBeingRead reports whether some server reads the prompt's last shared part just now.
func (s *service) isBeingRead(w Want, now time.Time) bool {
	part := Digest(w.Service, w.Shared[len(w.Shared)-1].ID())
	return slices.ContainsFunc(s.servers, func(o *server) bool {
		read, known := o.kept[part]
		return known && read.After(now)
	})
}

// source returns the server to fetch the shared parts from that the chosen
// one lacks, or nil if it is not worth it.
func (d *Directory) source(s *service, chosen *server, w Want, now time.Time) *server {
	most := chosen.keepsOf(w.Service, w.Shared, ever(now)) + leastFetch
	var best *server
	for _, other := range s.servers {
		if other == chosen || other.health.isUnreached {
			continue
		}
		if tokens := other.keepsOf(w.Service, w.Shared, now); tokens >= most {
			best, most = other, tokens+1
		}
	}
	return best
}

// ever returns a time by which all that waits is read.
func ever(now time.Time) time.Time { return now.Add(time.Hour) }

// note records that the chosen server, which has the rank in the chat's order,
// reads the shared parts.
func (d *Directory) note(chosen *server, rank int, w Want, now time.Time) {
	isTold := rank > 0 || len(d.told) < Crowd
	read := now.Add(chosen.wait() + firstToken)
	for _, part := range w.Shared {
		digest := Digest(w.Service, part.ID())
		if d.keep(chosen, digest, read) && isTold {
			d.news.add(Kept{Server: chosen.record.ID(), Part: digest})
		}
	}
}

// News returns the parts that this entry sent to a server first after the
// given number, and the number to go on from.
func (d *Directory) News(since uint64) ([]Kept, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.news.since(since)
}

// TellKept notes what another entry sent to servers.
func (d *Directory) TellKept(server string, parts []uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.servers[server]; s != nil {
		read := now.Add(s.wait() + firstToken)
		for _, part := range parts {
			d.keep(s, part, read)
		}
	}
}

// Learn notes what a server says that it keeps, for the other entries, too.
func (d *Directory) Learn(id string, parts []uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[id]
	if s == nil {
		return
	}
	for _, part := range parts {
		digest := Digest(s.record.Service(), part)
		if d.keep(s, digest, now) {
			d.news.add(Kept{Server: id, Part: digest})
		}
	}
}

// Records returns what the servers say of themselves.
func (d *Directory) Records() []Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	records := make([]Record, 0, len(d.servers))
	for _, s := range d.servers {
		records = append(records, s.record)
	}
	return records
}

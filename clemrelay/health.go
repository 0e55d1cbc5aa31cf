package clemrelay

import (
	"sync"
	"time"

	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	firstPenalty = time.Second
	maxPenalty   = 30 * time.Second
	// orphanTime is how long a peer that no parent answered comes last.
	orphanTime = 5 * time.Second
)

// penalty tells when a peer that did not answer is probed again.
type penalty struct {
	host   *clemwire.Host
	next   time.Time
	length time.Duration
}

// health remembers by address which peers did not answer. They are passed
// over until a probe of them succeeds, so that a silent peer costs one
// timeout and not one per round.
type health struct {
	mu    sync.Mutex
	peers map[string]penalty
	// orphans holds until when a peer comes last, because no parent answers it.
	orphans map[string]time.Time
}

func newHealth() *health {
	return &health{peers: map[string]penalty{}, orphans: map[string]time.Time{}}
}

// failed notes a failure and reports whether it is the first one.
func (h *health) failed(host *clemwire.Host, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.peers[host.GetAddress()]; known {
		return false
	}
	h.peers[host.GetAddress()] = penalty{host: host, next: now.Add(firstPenalty), length: firstPenalty}
	return true
}

// again notes that a probe failed and doubles the time to the next.
func (h *health) again(host *clemwire.Host, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	length := min(2*h.peers[host.GetAddress()].length, maxPenalty)
	h.peers[host.GetAddress()] = penalty{host: host, next: now.Add(length), length: length}
}

func (h *health) succeeded(host *clemwire.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.peers, host.GetAddress())
}

// noteOrphan records whether a peer said that no parent answers it.
func (h *health) noteOrphan(host *clemwire.Host, orphan bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.orphans, host.GetAddress())
	if orphan {
		h.orphans[host.GetAddress()] = now.Add(orphanTime)
	}
}

// usable returns the hosts that answered last time, in order but for those
// that no parent answers, which come last.
func (h *health) usable(hosts []*clemwire.Host, now time.Time) []*clemwire.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	usable := make([]*clemwire.Host, 0, len(hosts))
	var last []*clemwire.Host
	for _, host := range hosts {
		switch _, failed := h.peers[host.GetAddress()]; {
		case failed:
		case now.Before(h.orphans[host.GetAddress()]):
			last = append(last, host)
		default:
			usable = append(usable, host)
		}
	}
	return append(usable, last...)
}

// due returns the peers to probe now and forgets those of an old tree.
func (h *health) due(now time.Time, parents []*clemwire.Host) []*clemwire.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	wanted := map[string]bool{}
	for _, host := range parents {
		wanted[host.GetAddress()] = true
	}
	var due []*clemwire.Host
	for address, p := range h.peers {
		if !wanted[address] {
			delete(h.peers, address)
			delete(h.orphans, address)
			continue
		}
		if !now.Before(p.next) {
			due = append(due, p.host)
		}
	}
	return due
}

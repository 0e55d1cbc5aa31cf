package clemrelay

import (
	"sync"
	"time"

	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	minProbeDelay = time.Second
	maxProbeDelay = 30 * time.Second
	// orphanTTL is how long a peer that reported to be an orphan is placed last.
	orphanTTL = 5 * time.Second
)

// failedPeer is a peer that did not reply, with the time and delay of its next
// probe.
type failedPeer struct {
	host       *clemwire.Host
	nextProbe  time.Time
	probeDelay time.Duration
}

// peerHealth holds the peers that did not reply, by address. They are not used
// until a probe succeeds, so that an unresponsive peer costs one timeout instead
// of one in each round.
type peerHealth struct {
	mu          sync.Mutex
	failedPeers map[string]failedPeer
	// orphanedUntil is the time until which a peer is placed last, since it has no
	// reachable parent itself.
	orphanedUntil map[string]time.Time
}

func newPeerHealth() *peerHealth {
	return &peerHealth{failedPeers: map[string]failedPeer{}, orphanedUntil: map[string]time.Time{}}
}

// recordFailure records a failure and reports whether the peer was usable before.
func (h *peerHealth) recordFailure(host *clemwire.Host, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.failedPeers[host.GetAddress()]; known {
		return false
	}
	h.failedPeers[host.GetAddress()] = failedPeer{host: host, nextProbe: now.Add(minProbeDelay), probeDelay: minProbeDelay}
	return true
}

// recordProbeFailure records a failed probe and doubles the delay before the next.
func (h *peerHealth) recordProbeFailure(host *clemwire.Host, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delay := min(2*h.failedPeers[host.GetAddress()].probeDelay, maxProbeDelay)
	h.failedPeers[host.GetAddress()] = failedPeer{host: host, nextProbe: now.Add(delay), probeDelay: delay}
}

func (h *peerHealth) recordRecovery(host *clemwire.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.failedPeers, host.GetAddress())
}

// setOrphaned records whether a peer reported that it has no reachable parent.
func (h *peerHealth) setOrphaned(host *clemwire.Host, isOrphaned bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.orphanedUntil, host.GetAddress())
	if isOrphaned {
		h.orphanedUntil[host.GetAddress()] = now.Add(orphanTTL)
	}
}

// usable returns the hosts without a recorded failure in the given order, except
// that orphaned ones come last.
func (h *peerHealth) usable(hosts []*clemwire.Host, now time.Time) []*clemwire.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	usable := make([]*clemwire.Host, 0, len(hosts))
	var orphaned []*clemwire.Host
	for _, host := range hosts {
		switch _, failed := h.failedPeers[host.GetAddress()]; {
		case failed:
		case now.Before(h.orphanedUntil[host.GetAddress()]):
			orphaned = append(orphaned, host)
		default:
			usable = append(usable, host)
		}
	}
	return append(usable, orphaned...)
}

// dueProbes returns the failed peers to probe now and removes those that are no
// longer parents.
func (h *peerHealth) dueProbes(now time.Time, parents []*clemwire.Host) []*clemwire.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	isParent := map[string]bool{}
	for _, host := range parents {
		isParent[host.GetAddress()] = true
	}
	var due []*clemwire.Host
	for address, p := range h.failedPeers {
		if !isParent[address] {
			delete(h.failedPeers, address)
			delete(h.orphanedUntil, address)
			continue
		}
		if !now.Before(p.nextProbe) {
			due = append(due, p.host)
		}
	}
	return due
}

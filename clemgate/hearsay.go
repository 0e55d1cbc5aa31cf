package clemgate

import "time"

const (
	// peerLoadTTL is how long a load reported by another server is used.
	peerLoadTTL = time.Second
	// maxPeerLoads is the number of servers whose loads are kept.
	maxPeerLoads = 64
)

// peerLoad is the load, in tokens, that another server reported.
type peerLoad struct {
	received time.Time
	load     uint64
}

// peerLoads holds the recent loads of other servers of the pool, by name.
type peerLoads map[string]peerLoad

func (l peerLoads) add(now time.Time, server string, load uint64) {
	if _, ok := l[server]; !ok && len(l) >= maxPeerLoads {
		l.expire(now)
		if len(l) >= maxPeerLoads {
			return
		}
	}
	l[server] = peerLoad{received: now, load: load}
}

func (l peerLoads) expire(now time.Time) {
	for server, peer := range l {
		if now.Sub(peer.received) > peerLoadTTL {
			delete(l, server)
		}
	}
}

// sum returns the total of the loads that have not expired.
func (l peerLoads) sum(now time.Time) float64 {
	l.expire(now)
	total := 0.0
	for _, peer := range l {
		total += float64(peer.load)
	}
	return total
}

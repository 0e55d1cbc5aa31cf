package clempool

import (
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

// candidateSet is the set of servers that a request can be sent to.
type candidateSet struct {
	servers []*server
	// cold are the cold servers to which this entry may send a request now. They have no
	// part in the figures below. coldWait is the shortest time until this entry may send
	// to another one, or 0.
	cold     []*server
	coldWait time.Duration
	// meanLoad is the mean load of all servers of the service, including draining
	// ones, without those that state a limit unless all do.
	meanLoad float64
	// minBound is the lowest load bound: with servers that take no requests, the others
	// have more than the mean. It is 0 if there are none.
	minBound float64
	// isBoundStrict is set if servers are evacuated. The load bound then holds for the mean
	// of all servers, and what exceeds it is refused.
	isBoundStrict bool
	// utilisation is the load of the servers of the service as a share of the slots
	// of those that are neither closed nor ejected. Closed servers count only if they
	// drain.
	utilisation float64
	// slots is the number of the latter, load the requests at them and own those of this
	// entry among them.
	slots, load, own int
}

// isEmpty reports whether no server may take the request.
func (c candidateSet) isEmpty() bool { return len(c.servers)+len(c.cold) == 0 }

// areCold reports whether only cold servers are left.
func (c candidateSet) areCold() bool { return len(c.servers) == 0 && len(c.cold) > 0 }

// emptyRefusal returns the refusal of a request for which no server is left.
func (d *Directory) emptyRefusal(svc *service, r Request, c candidateSet, now time.Time) error {
	if err := d.coldRefusal(svc, r, c.coldWait, now); err != nil {
		return err
	}
	if err := d.closedRefusal(svc, r, now); err != nil {
		return err
	}
	return clementineturn.Refuse(clementineturn.KindUnavailable, "service %s has no backend server left to try", r.Service)
}

// scratch holds lists that are used again by the next choice of a server.
type scratch struct {
	untried, reachable, healthy, cold []*server
	considered, order                 []consideredServer
	priced                            []pricedServer
	weights, digests                  []uint64
}

// candidates returns the servers that may take the request, in lists that are valid until
// the next call. Ejected servers are included while the healthy ones lack capacity without
// them.
func (d *Directory) candidates(svc *service, r Request, now time.Time) candidateSet {
	untried, reachable, healthy, cold := d.scratch.untried[:0], d.scratch.reachable[:0], d.scratch.healthy[:0], d.scratch.cold[:0]
	var coldWait time.Duration
	figures := d.coldFigures(svc.name)
	totalLoad, slots, openLoad, ownLoad, unlimited, unlimitedLoad, unavailable, unavailableLoad := 0, 0, 0, 0, 0, 0, 0, 0
	isBoundStrict := false
	for _, server := range svc.servers {
		load := server.running + server.peerRunning
		totalLoad += load
		if !server.isLimited() {
			unlimited++
			unlimitedLoad += load
		}
		if closed := server.closedState(now); closed != StateOpen {
			if closed != StateDraining {
				unavailable++
				unavailableLoad += load
			}
			isBoundStrict = isBoundStrict || closed == StateEvacuated
			continue
		}
		isEjected := server.health.isEjected(now, server.running, r.Idempotent)
		if server.isCold = figures.Limit > 0 && server.cold.isCold(figures, now); server.isCold {
			unavailable++
			unavailableLoad += load
			if r.excludes(server) {
				continue
			}
			if wait := server.cold.wait(d.coldShare(server, figures, now), now); wait != 0 {
				if wait > 0 && (coldWait == 0 || wait < coldWait) {
					coldWait = wait
				}
				continue
			}
			if !isEjected {
				cold = append(cold, server)
				continue
			}
		}
		if !isEjected {
			slots += server.record.Slots()
			openLoad += load
			ownLoad += server.running
		}
		if r.excludes(server) {
			continue
		}
		untried = append(untried, server)
		if !isEjected || !server.health.isUnreachable {
			reachable = append(reachable, server)
		}
		if !isEjected {
			healthy = append(healthy, server)
		}
	}
	d.scratch.untried, d.scratch.reachable, d.scratch.healthy, d.scratch.cold = untried, reachable, healthy, cold
	c := candidateSet{
		cold: cold, coldWait: coldWait,
		servers: healthy, meanLoad: float64(totalLoad) / float64(max(len(svc.servers), 1)),
		utilisation: float64(totalLoad-unavailableLoad) / float64(max(slots, 1)), slots: slots, load: openLoad, own: ownLoad, isBoundStrict: isBoundStrict,
	}
	if unavailable > 0 && !isBoundStrict {
		c.minBound = float64(totalLoad-unavailableLoad)/float64(max(len(svc.servers)-unavailable, 1)) + loadBoundSlack
	}
	if unlimited > 0 {
		c.meanLoad = float64(unlimitedLoad) / float64(unlimited)
	}
	if len(healthy)+len(cold) == 0 || c.utilisation > maxHealthyUtilisation {
		c.servers = reachable
	}
	if len(c.servers)+len(cold) == 0 {
		c.servers = untried
	}
	return c
}

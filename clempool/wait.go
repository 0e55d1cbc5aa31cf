package clempool

import (
	"slices"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwait"
)

const (
	// userTTL is how long after a report of running requests a peer counts among the
	// entries that use a service.
	userTTL = time.Second
	// knownPeerTTL is how long a peer that no longer reports counts as one that may still
	// send requests.
	knownPeerTTL = 2 * time.Minute
	// minReportInterval is the shortest time between two distributions of what other
	// entries leave unused.
	minReportInterval = 100 * time.Millisecond
)

// isQueued reports whether clemwait decides on the request: it has no prefix and a
// latency target.
func (r Request) isQueued() bool { return len(r.Prefix) == 0 && r.Target > 0 }

// waitRequest returns the request as clemwait sees it.
func (r Request) waitRequest(value any) clemwait.Request {
	own := r.OwnTarget
	if own == 0 {
		own = r.Target
	}
	return clemwait.Request{
		Organisation: r.Organisation, Rank: r.Rank, Target: r.Target, OwnTarget: own, OnTimeBy: r.OnTimeBy, Deadline: r.Deadline, Bytes: r.Bytes, Value: value,
	}
}

// Waiter is a request that waits for a place at a server. It must be ended with Result or
// Cancel.
type Waiter struct {
	directory *Directory
	service   *service
	request   Request
	ticket    *clemwait.Ticket
	done      chan struct{}
	lease     *Lease
	err       error
}

// AcquireOrWait is Acquire for a request that may wait. It returns a waiter if the
// request waits.
func (d *Directory) AcquireOrWait(r Request, now time.Time) (*Lease, *Waiter, error) {
	if !r.isQueued() {
		lease, err := d.Acquire(r, now)
		return lease, nil, err
	}
	d.lookUpEntries(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expirePeers(now)
	svc := d.services[r.Service]
	if svc == nil {
		return nil, nil, clementineturn.Refuse(clementineturn.KindUnavailable, "service %s has no backend server", r.Service)
	}
	c := d.candidates(svc, r, now)
	if c.isEmpty() {
		return nil, nil, d.emptyRefusal(svc, r, c, now)
	}
	svc.target = r.Target
	view := d.view(svc, c, now)
	if svc.wait.Len() == 0 && view.IsFree() {
		lease, err := d.leaseOf(svc, c, r, view, now)
		return lease, nil, err
	}
	view.IsFull = d.isFull(c)
	w := &Waiter{directory: d, service: svc, request: r}
	ticket, refused, reason := svc.wait.Offer(r.waitRequest(w), view, now)
	d.refuse(svc, refused, view, now)
	if reason != clemwait.ReasonNone || ticket != nil {
		isBound := reason == clemwait.ReasonBound || slices.ContainsFunc(refused, func(r clemwait.Refused) bool { return r.Reason == clemwait.ReasonBound })
		d.recordScarce(svc, r.Service, isBound, view, now)
	}
	switch {
	case reason != clemwait.ReasonNone:
		return nil, nil, d.refusal(svc, r, reason, view, now)
	case ticket == nil:
		lease, err := d.leaseOf(svc, c, r, view, now)
		return lease, nil, err
	}
	w.ticket, w.done = ticket, make(chan struct{})
	return nil, w, nil
}

// acquireNow takes a place for a request that cannot wait, as it was tried elsewhere
// before.
func (d *Directory) acquireNow(svc *service, c candidateSet, r Request, now time.Time) (*Lease, error) {
	svc.target = r.Target
	view := d.view(svc, c, now)
	if !svc.wait.Admits(r.waitRequest(nil), view, now) {
		return nil, d.refusal(svc, r, clemwait.ReasonFull, view, now)
	}
	return d.leaseOf(svc, c, r, view, now)
}

// leaseOf takes a place for a request that was admitted.
func (d *Directory) leaseOf(svc *service, c candidateSet, r Request, view clemwait.View, now time.Time) (*Lease, error) {
	found := d.leastLoaded(c, r, now)
	if found.server == nil && found.limitWait > 0 {
		return nil, svc.fullRefusal(r, found, now)
	}
	if found.server == nil {
		return nil, d.refusal(svc, r, clemwait.ReasonFull, view, now)
	}
	svc.touch(r.Organisation, now)
	return d.place(svc, c, found, r, now), nil
}

// refusal returns the error of a request that is refused.
func (d *Directory) refusal(svc *service, r Request, reason clemwait.Reason, view clemwait.View, now time.Time) error {
	if len(r.Tried) > 0 {
		// No client is told: the request is tried elsewhere or has already been sent.
		return clementineturn.Refuse(clementineturn.KindOverloaded, "service %s has no place for another attempt", r.Service)
	}
	if d.config.OnRefused != nil {
		d.config.OnRefused(r.Service, reason.String())
	}
	message := "service " + r.Service + " is short of capacity: " + reason.Explanation()
	if d.leastLoadedOf(svc.servers) == nil {
		message = "every backend server of service " + r.Service + " is full: " + reason.Explanation()
	}
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindOverloaded, NotRun: true, RetryAfter: svc.wait.RetryAfter(r.waitRequest(nil), view, now), Message: message,
	})
}

// isFull reports whether no server of the set takes a further request.
func (d *Directory) isFull(c candidateSet) bool {
	return d.leastLoadedOf(c.servers) == nil && d.leastLoadedOf(c.cold) == nil
}

// view returns what is known of the use of a service.
func (d *Directory) view(svc *service, c candidateSet, now time.Time) clemwait.View {
	v := clemwait.View{Slots: c.slots, Entries: 1, IsUnlimited: c.areCold()}
	if c.slots == 0 {
		// Only ejected servers are left.
		for _, s := range c.servers {
			v.Slots += s.record.Slots()
			c.load += s.running + s.peerRunning
			c.own += s.running
		}
	}
	v.Own, v.Peers = c.own, c.load-c.own
	missing, known := d.missingEntries(now)
	v.IsIsolated = 2*missing > known
	if v.IsFree() {
		return v
	}
	v.Entries += missing
	for peer, at := range svc.users {
		if now.Sub(at) > userTTL {
			delete(svc.users, peer)
			continue
		}
		v.Entries += max(d.peers[peer].entries, 1)
	}
	return v
}

// missingEntries returns the number of other entries that no longer report but may still
// send requests, and of all that are known. Both are 0 if every known peer reports.
func (d *Directory) missingEntries(now time.Time) (missing, known int) {
	if len(d.knownPeers) == len(d.peers) {
		return 0, 0
	}
	for name, peer := range d.knownPeers {
		switch _, reports := d.peers[name]; {
		case reports:
		case now.Sub(peer.at) > knownPeerTTL:
			delete(d.knownPeers, name)
			continue
		default:
			missing += peer.entries
		}
		known += peer.entries
	}
	return missing, known
}

// updateWaiting applies a report to what is known of the use of services, and sends
// waiting requests.
func (d *Directory) updateWaiting(peer string, stats map[string]ServerStats, now time.Time) {
	d.knownPeers[peer] = knownPeer{now, max(d.peers[peer].entries, 1)}
	for id, s := range stats {
		if server := d.servers[id]; server != nil && s.Running > 0 {
			if svc := d.services[server.record.Service()]; svc.target > 0 {
				svc.users[peer] = now
			}
		}
	}
	for name, svc := range d.services {
		if svc.target == 0 {
			continue
		}
		d.endScarcity(svc, name, now)
		interval := max(d.lag(), minReportInterval)
		if svc.wait.Len() == 0 && !svc.wait.IsUpdateDue(interval, now) {
			continue
		}
		view := d.view(svc, d.candidates(svc, Request{}, now), now)
		svc.wait.Update(view, svc.target, interval, now)
		d.dispatch(svc, now)
	}
}

// dispatch sends waiting requests to servers as far as there is room, and refuses those
// that must wait no longer.
func (d *Directory) dispatch(svc *service, now time.Time) {
	for svc.wait.Len() > 0 {
		c := d.candidates(svc, Request{}, now)
		view := d.view(svc, c, now)
		d.refuse(svc, svc.wait.Expire(view, now), view, now)
		if c.isEmpty() {
			for _, ticket := range svc.wait.Clear() {
				w := ticket.Value().(*Waiter)
				w.end(nil, d.emptyRefusal(svc, w.request, c, now))
			}
			return
		}
		if d.isFull(c) {
			return
		}
		ticket := svc.wait.Next(view, now)
		if ticket == nil {
			return
		}
		w := ticket.Value().(*Waiter)
		if c = d.candidates(svc, w.request, now); c.isEmpty() {
			w.end(nil, d.emptyRefusal(svc, w.request, c, now))
			continue
		}
		w.end(d.leaseOf(svc, c, w.request, view, now))
	}
}

// refuse ends requests that waited.
func (d *Directory) refuse(svc *service, refused []clemwait.Refused, view clemwait.View, now time.Time) {
	for _, r := range refused {
		w := r.Ticket.Value().(*Waiter)
		w.end(nil, d.refusal(svc, w.request, r.Reason, view, now))
	}
}

// RefuseWaiting refuses all waiting requests with the error and returns their number.
func (d *Directory) RefuseWaiting(err error) (refused int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, svc := range d.services {
		for _, ticket := range svc.wait.Clear() {
			ticket.Value().(*Waiter).end(nil, err)
			refused++
		}
	}
	return refused
}

// Waiting returns the number of waiting requests.
func (d *Directory) Waiting() (waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, svc := range d.services {
		waiting += svc.wait.Len()
	}
	return waiting
}

// end sets the result.
func (w *Waiter) end(lease *Lease, err error) {
	w.lease, w.err = lease, err
	close(w.done)
}

// Done returns a channel that is closed once there is a result.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Result returns a place at a server, or the error with which the request is refused. It
// must be called after Done is closed.
func (w *Waiter) Result() (*Lease, error) { return w.lease, w.err }

// CheckAt returns when Check must be called next.
func (w *Waiter) CheckAt(now time.Time) time.Time {
	w.directory.mu.Lock()
	defer w.directory.mu.Unlock()
	return w.ticket.CheckAt(now)
}

// Check looks again whether waiting requests can be sent or must be refused.
func (w *Waiter) Check(now time.Time) {
	w.directory.mu.Lock()
	defer w.directory.mu.Unlock()
	w.directory.expirePeers(now)
	w.directory.dispatch(w.service, now)
}

// Cancel ends the wait of a request whose caller has left.
func (w *Waiter) Cancel(now time.Time) {
	w.directory.mu.Lock()
	isWaiting := w.service.wait.Cancel(w.ticket)
	w.directory.mu.Unlock()
	if !isWaiting && w.lease != nil {
		w.lease.Release(OutcomeWithdrawn, nil, now)
	}
}

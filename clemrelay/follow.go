package clemrelay

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// maxBootstrapPeers is the number of peers that a starting process asks for
	// their generation.
	maxBootstrapPeers = 5
	// probeTimeout bounds such a request.
	probeTimeout = time.Second
	// pullDelayFactor gives the time without a reply to reports after which a
	// process pulls, as a multiple of the report interval.
	pullDelayFactor = 2
	// maxTableReadDelay bounds the delay between reads of an unavailable table by
	// a process without a reachable parent.
	maxTableReadDelay = 10 * time.Second
)

// followConfiguration obtains a first configuration and then keeps it up to date
// from the table or from parents.
func (r *Relay) followConfiguration(ctx context.Context) error {
	for !r.Ready() {
		if r.bootstrap(ctx); r.Ready() {
			break
		}
		if !sleep(ctx, r.jitter(r.config.PollInterval)) {
			return nil
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.pollTable(ctx) })
	group.Go(func() error { return r.pullWhenSilent(ctx) })
	return group.Wait()
}

// bootstrap obtains the first configuration: the newest one of its peers, brought
// up to date from the log in the table. If the table is unavailable, the peers'
// configuration is used as it is; a process that restarts while the table is
// available never starts with an older generation than it had. The part of the
// log that was read is kept for the next attempt, since reading a long log from
// its beginning takes longer than one attempt.
func (r *Relay) bootstrap(ctx context.Context) {
	fromPeers := r.fetchFromPeers(ctx)
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	base := newerState(fromPeers, r.partialState)
	if fromPeers == nil {
		base = newerState(base, r.readSnapshot(ctx, base))
	}
	if base == nil {
		base = clemconfig.Empty()
	}
	state, err := r.config.Log.Advance(ctx, base)
	r.recordTableResult(err)
	source := "table"
	if err != nil {
		r.partialState = state
		if fromPeers == nil {
			return
		}
		state, source = newerState(fromPeers, state), "peers"
	}
	if r.store.adopt(state) {
		r.config.Events.Emit(clemevent.ConfigLoaded, zap.Uint64("generation", state.Generation()), zap.String("source", source))
	}
}

// newerState returns the state with the higher generation; either may be nil.
func newerState(a, b *clemconfig.State) *clemconfig.State {
	if a == nil || b != nil && b.Generation() > a.Generation() {
		return b
	}
	return a
}

// fetchFromPeers returns the configuration of the peer with the highest
// generation, or nil if no peer returned one.
func (r *Relay) fetchFromPeers(ctx context.Context) *clemconfig.State {
	peers := r.bootstrapPeers()
	probed := make([]*clemwire.Probed, len(peers))
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+pullTimeout)
	defer cancel()
	var group errgroup.Group
	for i, host := range peers {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			probed[i], _ = r.config.Peers.Peer(host.GetAddress()).Probe(ctx)
			return nil
		})
	}
	_ = group.Wait()
	best := -1
	for i, p := range probed {
		if p.GetReady() && (best < 0 || p.GetGeneration() > probed[best].GetGeneration()) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	pulled, err := r.config.Peers.Peer(peers[best].GetAddress()).Pull(ctx, &clemwire.Pull{})
	if err != nil {
		return nil
	}
	state, err := r.decodePulled(pulled)
	if err != nil {
		r.config.Events.Emit(clemevent.ConfigRejected, zap.Error(err))
		return nil
	}
	return state
}

// bootstrapPeers returns up to maxBootstrapPeers peers: first the parents, then
// other members.
func (r *Relay) bootstrapPeers() []*clemwire.Host {
	peers := r.tree.Load().parents
	peers = peers[:min(len(peers), maxBootstrapPeers):min(len(peers), maxBootstrapPeers)]
	members := r.config.Board.Members().Get()
	if members == nil {
		return peers
	}
	seen := map[string]bool{r.config.Self.GetName(): true}
	for _, host := range peers {
		seen[host.GetName()] = true
	}
	for _, host := range members.Hosts() {
		if len(peers) == maxBootstrapPeers {
			break
		}
		if !seen[host.GetName()] {
			peers = append(peers, host)
		}
	}
	return peers
}

// pollTable reads the log at each poll interval while the process is a poller.
func (r *Relay) pollTable(ctx context.Context) error {
	snapshots := &snapshotWriter{relay: r}
	for sleep(ctx, r.config.PollInterval) {
		if !r.tree.Load().isPoller {
			continue
		}
		if r.readTable(ctx) == nil {
			snapshots.writeIfDue(ctx)
		}
	}
	return nil
}

// readTable applies the changes in the table that follow the current generation.
func (r *Relay) readTable(ctx context.Context) error {
	for ctx.Err() == nil {
		generation, _ := r.store.generation()
		readCtx, cancel := context.WithTimeout(ctx, tableTimeout)
		change, err := r.config.Log.Next(readCtx, generation)
		cancel()
		if clementineturn.IsKind(err, clementineturn.KindNotFound) {
			r.recordTableResult(nil)
			return nil
		}
		if err != nil {
			r.recordTableResult(err)
			return err
		}
		if err := r.applyAndLog([]*clemwire.Change{change}); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// recordTableResult records the outcome of a read of the table and logs when the
// table becomes unavailable or reachable again.
func (r *Relay) recordTableResult(err error) {
	r.contact.mu.Lock()
	defer r.contact.mu.Unlock()
	if err == nil {
		r.contact.lastContact = time.Now()
	}
	if failed := err != nil; failed != r.contact.isTableFailing {
		r.contact.isTableFailing = failed
		if failed {
			r.config.Events.Emit(clemevent.TableUnavailable, zap.Error(err))
		} else {
			r.config.Events.Emit(clemevent.TableRecovered)
		}
	}
}

// pullWhenSilent pulls changes from a parent while no reply to a report arrives,
// since changes otherwise come with the replies. Without a usable parent it reads
// the table, at random intervals that grow while the table is unavailable.
func (r *Relay) pullWhenSilent(ctx context.Context) error {
	delay := r.config.PollInterval
	for sleep(ctx, r.jitter(delay)) {
		delay = r.config.PollInterval
		if !r.contact.isLost(scale(r.config.ReportInterval, pullDelayFactor)) {
			continue
		}
		if parents := r.usableParents(); len(parents) > 0 {
			r.pullParent(ctx, parents[0])
			continue
		}
		if !r.tree.Load().isPoller && r.readTable(ctx) != nil {
			delay = min(2*delay, maxTableReadDelay)
		}
	}
	return nil
}

func (r *Relay) pullParent(ctx context.Context, host *clemwire.Host) {
	err := r.pullFrom(ctx, host.GetAddress())
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.recordFailure(host, err)
		return
	}
	r.contact.record()
}

// requestPull requests a pull from a peer if the peer holds a newer generation.
// A process without a configuration leaves that to bootstrap, which reads the
// table as well.
func (r *Relay) requestPull(generation uint64, address string) {
	if held, ok := r.store.generation(); address == "" || !ok || held >= generation {
		return
	}
	select {
	case r.pullRequests <- address:
	default:
	}
}

// runRequestedPulls pulls from the peers passed to requestPull.
func (r *Relay) runRequestedPulls(ctx context.Context) error {
	for {
		select {
		case address := <-r.pullRequests:
			_ = r.pullFrom(ctx, address)
		case <-ctx.Done():
			return nil
		}
	}
}

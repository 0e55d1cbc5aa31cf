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
	// bootPeers is the number of peers that a fresh process asks for their generation.
	bootPeers = 5
	// probeTimeout bounds the question.
	probeTimeout = time.Second
	// silentShare is the time without an answer to reports after which a
	// process pulls, as a multiple of the beat interval.
	silentShare = 2
	// maxFallback bounds the time between reads of a failing table by a
	// process that no parent answers.
	maxFallback = 10 * time.Second
)

// follow keeps the configuration current: first it finds one, then it reads
// the table or asks the parent.
func (r *Relay) follow(ctx context.Context) error {
	for !r.Ready() {
		if r.boot(ctx); r.Ready() {
			break
		}
		if !sleep(ctx, r.jitter(r.config.Poll)) {
			return nil
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.pollTable(ctx) })
	group.Go(func() error { return r.pullParents(ctx) })
	return group.Wait()
}

// boot takes the highest configuration that peers hold and brings it up to
// date from the table. If the table is down, the peers' word suffices; a
// process that restarts while the table is up never holds less than before.
// What it read is kept for the next attempt, since a log that is read from
// its beginning takes longer than one attempt.
func (r *Relay) boot(ctx context.Context) {
	peers := r.askPeers(ctx)
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	base := newest(peers, r.partial)
	if peers == nil {
		base = newest(base, r.readSnapshot(ctx, base))
	}
	if base == nil {
		base = clemconfig.Empty()
	}
	state, err := r.config.Log.Advance(ctx, base)
	r.tableAnswered(err)
	source := "table"
	if err != nil {
		r.partial = state
		if peers == nil {
			return
		}
		state, source = newest(peers, state), "peers"
	}
	if r.store.adopt(state) {
		r.config.Events.Emit(clemevent.ConfigHeld, zap.Uint64("generation", state.Generation()), zap.String("source", source))
	}
}

// newest returns the state of the higher generation; either may be nil.
func newest(a, b *clemconfig.State) *clemconfig.State {
	if a == nil || b != nil && b.Generation() > a.Generation() {
		return b
	}
	return a
}

// askPeers returns the configuration of the peer with the highest generation, or nil.
func (r *Relay) askPeers(ctx context.Context) *clemconfig.State {
	hosts := r.bootHosts()
	probed := make([]*clemwire.Probed, len(hosts))
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+pullTimeout)
	defer cancel()
	var group errgroup.Group
	for i, host := range hosts {
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
	pulled, err := r.config.Peers.Peer(hosts[best].GetAddress()).Pull(ctx, &clemwire.Pull{})
	if err != nil {
		return nil
	}
	state, err := r.unpack(pulled)
	if err != nil {
		r.config.Events.Emit(clemevent.ConfigRejected, zap.Error(err))
		return nil
	}
	return state
}

// bootHosts returns the parents and, if they are few, other members.
func (r *Relay) bootHosts() []*clemwire.Host {
	hosts := r.tree.Load().parents
	hosts = hosts[:min(len(hosts), bootPeers):min(len(hosts), bootPeers)]
	members := r.config.Board.Members().Get()
	if members == nil {
		return hosts
	}
	seen := map[string]bool{r.config.Self.GetName(): true}
	for _, host := range hosts {
		seen[host.GetName()] = true
	}
	for _, host := range members.Hosts() {
		if len(hosts) == bootPeers {
			break
		}
		if !seen[host.GetName()] {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// pollTable reads the log each poll interval while the process is a poller.
func (r *Relay) pollTable(ctx context.Context) error {
	snapshots := &snapshotWriter{relay: r}
	for sleep(ctx, r.config.Poll) {
		if !r.tree.Load().poller {
			continue
		}
		if r.readTable(ctx) == nil {
			snapshots.tick(ctx)
		}
	}
	return nil
}

// readTable applies the rows that follow the generation in force.
func (r *Relay) readTable(ctx context.Context) error {
	for ctx.Err() == nil {
		generation, _ := r.store.generation()
		read, cancel := context.WithTimeout(ctx, tableTimeout)
		change, err := r.config.Log.Next(read, generation)
		cancel()
		if clementineturn.IsKind(err, clementineturn.KindNotFound) {
			r.tableAnswered(nil)
			return nil
		}
		if err != nil {
			r.tableAnswered(err)
			return err
		}
		if err := r.applyAll([]*clemwire.Change{change}); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// tableAnswered logs when the table starts or ceases to answer.
func (r *Relay) tableAnswered(err error) {
	r.contact.mu.Lock()
	defer r.contact.mu.Unlock()
	if err == nil {
		r.contact.last = time.Now()
	}
	if failed := err != nil; failed != r.contact.failed {
		r.contact.failed = failed
		if failed {
			r.config.Events.Emit(clemevent.TableFailed, zap.Error(err))
		} else {
			r.config.Events.Emit(clemevent.TableBack)
		}
	}
}

// pullParents covers for reports that find no parent: the changes come with
// the replies to reports, and only while none arrives does the process pull.
// If no parent answers it reads the table, after a random time that grows
// while the table fails.
func (r *Relay) pullParents(ctx context.Context) error {
	fallback := r.config.Poll
	for sleep(ctx, r.jitter(fallback)) {
		fallback = r.config.Poll
		if !r.contact.lost(share(r.config.Beat, silentShare)) {
			continue
		}
		if hosts := r.parents(); len(hosts) > 0 {
			r.pullParent(ctx, hosts[0])
			continue
		}
		if !r.tree.Load().poller && r.readTable(ctx) != nil {
			fallback = min(2*fallback, maxFallback)
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
		r.failed(host, err)
		return
	}
	r.contact.heard()
}

// hear asks for a pull from a peer that told of a newer generation. A process
// without a configuration waits for boot, which asks the table as well.
func (r *Relay) hear(generation uint64, address string) {
	if held, ok := r.store.generation(); address == "" || !ok || held >= generation {
		return
	}
	select {
	case r.heard <- address:
	default:
	}
}

// catchUp pulls from the peers that hear names.
func (r *Relay) catchUp(ctx context.Context) error {
	for {
		select {
		case address := <-r.heard:
			_ = r.pullFrom(ctx, address)
		case <-ctx.Done():
			return nil
		}
	}
}

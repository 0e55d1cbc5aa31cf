package clemspread

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clempool"
)

const (
	// readyPollInterval is the interval at which a starting entry checks whether
	// it is ready.
	readyPollInterval = 10 * time.Millisecond
	// peerDiscoveryDelay is how long a ready entry waits for messages from its
	// peers before it decides whether to query engines.
	peerDiscoveryDelay = 60 * time.Millisecond
	// warmUptime is the uptime from which on a peer is taken to know the cached
	// parts of the engines and to send them.
	warmUptime = 5 * time.Second
	// maxInventoryCalls is how many engines are queried at once: each answer is held whole,
	// also one that is no list.
	maxInventoryCalls = 8
)

// learnCachedParts queries the engines for their cached prompt parts if all
// entries have restarted; otherwise the peers that kept running send them. Each
// engine is queried by one entry, which passes the result on to its peers.
func (s *Syncer) learnCachedParts(ctx context.Context) {
	if s.config.Inventory == nil {
		return
	}
	for !s.IsReady() {
		if !sleep(ctx, readyPollInterval) {
			return
		}
	}
	if !sleep(ctx, peerDiscoveryDelay) || !s.peers.shouldQueryEngines() {
		return
	}
	var calls errgroup.Group
	calls.SetLimit(maxInventoryCalls)
	defer func() { _ = calls.Wait() }()
	configuration := s.config.Table.Current()
	for _, record := range s.config.Directory.Records() {
		service := configuration.Service(record.Service())
		if service == nil || service.Engine() == nil || record.IsDraining() || !s.peers.isResponsibleFor(record.ID()) {
			continue
		}
		calls.Go(func() error {
			parts, err := s.config.Inventory.CachedParts(ctx, record.Address())
			if err != nil {
				s.config.Events.Emit(clemevent.CacheInventoryFailed, zap.String("server", record.ID()), zap.Error(err))
				return nil
			}
			s.config.Directory.AddInventory(record.ID(), parts, time.Now())
			s.config.Events.Emit(clemevent.CacheInventoryRead, zap.String("server", record.ID()), zap.Int("parts", len(parts)))
			return nil
		})
	}
}

// shouldQueryEngines reports whether no peer has run long enough to know the
// engines' cached parts and the fleet is small enough to exchange all of them.
func (t *peerTable) shouldQueryEngines() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.byAddress {
		if p.clock > warmUptime {
			return false
		}
	}
	return len(t.byAddress) < clempool.LargeFleetSize
}

// isResponsibleFor reports whether rendezvous hashing assigns the server to this
// entry.
func (t *peerTable) isResponsibleFor(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := xxhash.Sum64String(t.ownAddress + id)
	for address := range t.byAddress {
		if xxhash.Sum64String(address+id) > own {
			return false
		}
	}
	return true
}

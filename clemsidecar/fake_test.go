package clemsidecar

import (
	"context"
	"flag"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemanswer"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemclaim"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemgate"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

func TestMain(m *testing.M) {
	// A fixed seed makes runs reproducible; a flag on the command line
	// overrides it.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}

const (
	server = "srv-1"
	linger = 5 * time.Second
	buffer = 1 << 10
)

// fakeBackend counts the runs that reach it.
type fakeBackend struct {
	clementineturn.Backend
	// delay is the duration of each run. If refuses is set, the backend refuses
	// connections.
	delay   time.Duration
	refuses bool
	// body is the data of each answer.
	body []byte

	mu            sync.Mutex
	runsByAttempt map[string]int
	runsByKey     map[string]int
}

func (b *fakeBackend) Run(ctx context.Context, offer *clemwire.Offer, sink clementineturn.Sink) error {
	b.mu.Lock()
	refuses, delay := b.refuses, b.delay
	if !refuses {
		b.runsByAttempt[offer.GetAttempt()]++
		b.runsByKey[offer.GetKey()]++
	}
	b.mu.Unlock()
	if refuses {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "connection refused")
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return clementineturn.AsError(ctx.Err())
	}
	if err := sink.Start(&clemwire.Start{Status: http.StatusOK, Media: "application/json"}); err != nil {
		return err
	}
	return sink.Data(b.body)
}

func (b *fakeBackend) configure(delay time.Duration, refuses bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay, b.refuses = delay, refuses
}

func (b *fakeBackend) runs(attempt string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runsByAttempt[attempt]
}

// fakeRelay has no configuration changes.
type fakeRelay struct {
	clemrpc.UnimplementedPeer
}

func (fakeRelay) ApplyChanges([]*clemwire.Change) {}

// fixture is a sidecar with a fake backend, for use in a synctest bubble.
type fixture struct {
	*Sidecar
	backend *fakeBackend
	cancel  context.CancelFunc
	done    []<-chan error
}

func newFixture(slots uint32) *fixture {
	backend := &fakeBackend{body: []byte("{}"), runsByAttempt: map[string]int{}, runsByKey: map[string]int{}}
	f := newFixtureWith(slots, backend)
	f.backend = backend
	return f
}

func newFixtureWith(slots uint32, backend clementineturn.Backend) *fixture {
	ctx, cancel := context.WithCancel(context.Background())
	board := clemboard.New()
	board.Config().Set(clemconfig.FromSnapshot(&clemwire.Snapshot{Generation: 5, Entities: []*clemwire.Entity{
		{Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{Name: "cribs", Weight: 1, Queue: 2, Generation: 1}}},
		{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{Name: "chats", Kind: clemwire.PoolKind_POOL_KIND_MODEL, Model: "m", Slots: slots, Bound: 2, LongCost: 1000, LongShare: 1, Generation: 1}}},
	}}))
	ledger := clemclaim.NewLedger(clemclaim.LedgerConfig{Table: clemstandin.NewTable(), Buckets: 1, WriteInterval: 10 * time.Millisecond, Retention: time.Hour})
	claimer := clemclaim.NewClaimer(clemclaim.ClaimerConfig{
		Ledger: ledger, Server: server, Incarnation: 1, Locate: func(string) clementineturn.Peer { return nil },
	})
	f := &fixture{cancel: cancel, Sidecar: New(Config{
		Server: server, Pool: "chats", Board: board, Gate: clemgate.New(clemgate.Config{Server: server}), Backend: backend, Relay: fakeRelay{},
		Answers: clemanswer.New(clemanswer.Config{MaxBytes: buffer, Linger: linger}),
	})}
	f.updateLimits(time.Now())
	f.SetIncarnation(1, claimer)
	f.done = []<-chan error{ledger.Start(ctx), claimer.Start(ctx), f.Start(ctx)}
	return f
}

func (f *fixture) close() {
	f.Wait()
	f.cancel()
	for _, done := range f.done {
		<-done
	}
}

func newOffer(attempt, key string, timeout time.Duration) *clemwire.Offer {
	offer := &clemwire.Offer{
		Request: "r", Attempt: attempt, Organisation: "cribs", Pool: "chats", Mode: clemwire.Mode_MODE_IDEMPOTENT,
		Prompt: 1, Output: 1, Generation: 5, Timeout: durationpb.New(timeout),
	}
	if key != "" {
		offer.Mode, offer.Key, offer.Service, offer.Call = clemwire.Mode_MODE_AT_MOST_ONCE, key, "orders", "reserve"
	}
	return offer
}

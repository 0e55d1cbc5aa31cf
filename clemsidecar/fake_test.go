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
	// A fixed seed gives one verdict every time; the command line may set another.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}

const (
	server = "srv-1"
	linger = 5 * time.Second
	buffer = 1 << 10
)

// fakeBackend counts what reaches it.
type fakeBackend struct {
	clementineturn.Backend
	// took is how long work takes, refused whether a connection is refused.
	took    time.Duration
	refused bool
	// answer is the data of each answer.
	answer []byte

	mu   sync.Mutex
	seen map[string]int
	keys map[string]int
}

func (b *fakeBackend) Run(ctx context.Context, offer *clemwire.Offer, sink clementineturn.Sink) error {
	b.mu.Lock()
	refused, took := b.refused, b.took
	if !refused {
		b.seen[offer.GetAttempt()]++
		b.keys[offer.GetKey()]++
	}
	b.mu.Unlock()
	if refused {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "connection refused")
	}
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return clementineturn.AsError(ctx.Err())
	}
	if err := sink.Start(&clemwire.Start{Status: http.StatusOK, Media: "application/json"}); err != nil {
		return err
	}
	return sink.Data(b.answer)
}

func (b *fakeBackend) set(took time.Duration, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.took, b.refused = took, refused
}

func (b *fakeBackend) runs(attempt string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen[attempt]
}

// fakeRelay has no changes to give.
type fakeRelay struct {
	clemrpc.Unsupported
}

func (fakeRelay) Learn([]*clemwire.Change) {}

// bench is one sidecar with its backend, in a bubble of virtual time.
type bench struct {
	*Sidecar
	backend *fakeBackend
	cancel  context.CancelFunc
	ends    []<-chan error
}

func newBench(slots uint32) *bench {
	backend := &fakeBackend{answer: []byte("{}"), seen: map[string]int{}, keys: map[string]int{}}
	b := newBenchWith(slots, backend)
	b.backend = backend
	return b
}

func newBenchWith(slots uint32, backend clementineturn.Backend) *bench {
	ctx, cancel := context.WithCancel(context.Background())
	board := clemboard.New()
	board.Config().Set(clemconfig.FromSnapshot(&clemwire.Snapshot{Generation: 5, Entities: []*clemwire.Entity{
		{Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{Name: "cribs", Weight: 1, Queue: 2, Generation: 1}}},
		{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{Name: "chats", Kind: clemwire.PoolKind_POOL_KIND_MODEL, Model: "m", Slots: slots, Bound: 2, LongCost: 1000, LongShare: 1, Generation: 1}}},
	}}))
	ledger := clemclaim.NewLedger(clemclaim.LedgerConfig{Table: clemstandin.NewTable(), Buckets: 1, Interval: 10 * time.Millisecond, Retention: time.Hour})
	keeper := clemclaim.NewKeeper(clemclaim.KeeperConfig{
		Ledger: ledger, Server: server, Incarnation: 1, Locate: func(string) clementineturn.Peer { return nil },
	})
	b := &bench{cancel: cancel, Sidecar: New(Config{
		Server: server, Pool: "chats", Board: board, Gate: clemgate.New(clemgate.Config{Server: server}), Backend: backend, Relay: fakeRelay{},
		Answers: clemanswer.New(clemanswer.Config{Bytes: buffer, Linger: linger}),
	})}
	b.refreshLimits(time.Now())
	b.Hold(1, keeper)
	b.ends = []<-chan error{ledger.Start(ctx), keeper.Start(ctx), b.Start(ctx)}
	return b
}

func (b *bench) close() {
	b.Wait()
	b.cancel()
	for _, end := range b.ends {
		<-end
	}
}

func offerOf(attempt, key string, timeout time.Duration) *clemwire.Offer {
	offer := &clemwire.Offer{
		Request: "r", Attempt: attempt, Organisation: "cribs", Pool: "chats", Mode: clemwire.Mode_MODE_IDEMPOTENT,
		Prompt: 1, Output: 1, Generation: 5, Timeout: durationpb.New(timeout),
	}
	if key != "" {
		offer.Mode, offer.Key, offer.Service, offer.Call = clemwire.Mode_MODE_AT_MOST_ONCE, key, "orders", "reserve"
	}
	return offer
}

package clementry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemburn"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	apiKey       = "ct-cribs"
	maxBody      = 4096
	streamedChat = `{"model":"m","stream":true,"messages":[{"role":"user","content":"a cot"}]}`
	plainChat    = `{"model":"m","messages":[{"role":"user","content":"a cot"}]}`
)

func TestMain(m *testing.M) {
	// A fixed seed makes the property tests reproducible; the command line may set
	// another one.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}

// fakeSidecar accepts every offer and answers with the frames of the test.
type fakeSidecar struct {
	clemrpc.UnimplementedPeer
	// offer, if set, replaces the accepting verdict. frames serves Fetch.
	offer  func(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error)
	frames func(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error

	mu        sync.Mutex
	offers    []*clemwire.Offer
	fetches   []*clemwire.Fetch
	cancelled []string
}

func (f *fakeSidecar) Offer(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
	f.mu.Lock()
	f.offers = append(f.offers, offer)
	f.mu.Unlock()
	if f.offer != nil {
		return f.offer(ctx, offer)
	}
	return &clemwire.Verdict{}, nil
}

func (f *fakeSidecar) Cancel(_ context.Context, cancel *clemwire.Cancel) (*clemwire.Cancelled, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, cancel.GetAttempt())
	return &clemwire.Cancelled{}, nil
}

func (f *fakeSidecar) Fetch(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
	f.mu.Lock()
	f.fetches = append(f.fetches, fetch)
	f.mu.Unlock()
	return f.frames(ctx, fetch, handler)
}

// fakePeers maps addresses to sidecars.
type fakePeers map[string]clementineturn.Peer

func (p fakePeers) Peer(address string) clementineturn.Peer { return p[address] }

// listOrder ranks the servers in the order of the board.
type listOrder struct{}

func (listOrder) Rank(_ clementineturn.RoutingKey, hosts []*clemwire.Host) []*clemwire.Host {
	return hosts
}

type noHealth struct{}

func (noHealth) Refused(string, clementineturn.Kind, time.Time) {}
func (noHealth) Failed(string, time.Time)                       {}
func (noHealth) Succeeded(string, time.Time)                    {}

func newBoard(names ...string) *clemboard.Board {
	digest := sha256.Sum256([]byte(apiKey))
	b := clemboard.New()
	b.Config().Set(clemconfig.FromSnapshot(&clemwire.Snapshot{Generation: 5, Entities: []*clemwire.Entity{
		{Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{
			Name: "cribs", Weight: 1, Queue: 10, Generation: 1, Keys: []*clemwire.Key{{Name: "k", Digest: digest[:]}},
		}}},
		{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{Name: "chats", Kind: clemwire.PoolKind_POOL_KIND_MODEL, Model: "m", Generation: 2}}},
		{Kind: &clemwire.Entity_Service{Service: &clemwire.Service{Name: "orders", Pool: "chats", Generation: 3}}},
	}}))
	var hosts []*clemwire.Host
	for _, name := range names {
		hosts = append(hosts, &clemwire.Host{Name: name, Address: name, Pool: "chats"})
	}
	b.Members().Set(clemboard.NewMembers(hosts))
	return b
}

// newEntry returns an entry in front of the sidecars srv-1, srv-2 and so on.
func newEntry(sidecars ...*fakeSidecar) *Entry {
	peers, names := fakePeers{}, []string{}
	for i, sidecar := range sidecars {
		name := "srv-" + string(rune('1'+i))
		peers[name] = sidecar
		names = append(names, name)
	}
	return New(Config{
		Name: "entry-1", Board: newBoard(names...), Health: noHealth{}, Peers: peers, Ranker: listOrder{},
		Burn: clemburn.New(clemburn.Config{}), Metrics: clemmetric.New(), MaxBodyBytes: maxBody, DefaultTimeout: time.Minute,
	})
}

// post serves one POST request in this goroutine.
func post(e *Entry, path, body string, header map[string]string) *httptest.ResponseRecorder {
	router := chi.NewRouter()
	e.Mount(router)
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", bearerPrefix+apiKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	router.ServeHTTP(recorder, request)
	return recorder
}

// requireError checks a response that carries an OpenAI error object.
func requireError(t *testing.T, kind clementineturn.Kind, field string, got *httptest.ResponseRecorder) {
	t.Helper()
	var body openAIError
	require.NoError(t, json.Unmarshal(got.Body.Bytes(), &body), got.Body)
	require.Equal(t, kind.String(), body.Error.Code, body.Error.Message)
	require.Equal(t, kind.Info().Status(), got.Code)
	param := ""
	if body.Error.Param != nil {
		param = *body.Error.Param
	}
	require.Equal(t, field, param)
}

// framesThenCut returns a Fetch that sends the frames from the requested one on
// and then fails like a broken connection unless it sent the end frame.
func framesThenCut(build func(fetch *clemwire.Fetch) []*clemwire.Frame) func(context.Context, *clemwire.Fetch, func(*clemwire.Frame) error) error {
	return func(_ context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
		frames := build(fetch)
		for _, frame := range frames[min(fetch.GetFrom(), uint64(len(frames))):] {
			if err := handler(frame); err != nil || frame.GetEnd() != nil {
				return err
			}
		}
		return clementineturn.Errorf(clementineturn.KindCut, "no end: %w", io.ErrUnexpectedEOF)
	}
}

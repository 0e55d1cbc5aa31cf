package clemops

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemclaim"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemsetting"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	anaToken = "ana-token-0123456789"
	benToken = "ben-token-0123456789"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePeers answers for the hosts it knows; a host that it does not know
// blocks until the caller gives up.
type fakePeers struct {
	probed   map[string]*clemwire.Probed
	gathered map[string]*clemwire.Gathered
}

type fakePeer struct {
	clementineturn.Peer
	address string
	peers   *fakePeers
}

func (p *fakePeers) Peer(address string) clementineturn.Peer {
	return &fakePeer{address: address, peers: p}
}

func (p *fakePeer) Probe(ctx context.Context) (*clemwire.Probed, error) {
	return answerOf(ctx, p.peers.probed[p.address])
}

func (p *fakePeer) Gather(ctx context.Context) (*clemwire.Gathered, error) {
	return answerOf(ctx, p.peers.gathered[p.address])
}

func answerOf[T any](ctx context.Context, answer *T) (*T, error) {
	if answer != nil {
		return answer, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// fakeHosts is a list of hosts; nil does not answer.
type fakeHosts struct {
	list []*clemwire.Host
}

// List implements clementineturn.Hosts.
func (f *fakeHosts) List(context.Context, clementineturn.Version) ([]*clemwire.Host, clementineturn.Version, error) {
	if f.list == nil {
		return nil, "", clementineturn.Errorf(clementineturn.KindUnavailable, "the list is down")
	}
	return f.list, "1", nil
}

// bench is a handler over stand-ins.
type bench struct {
	table   *clemstandin.Table
	board   *clemboard.Board
	ledger  *clemclaim.Ledger
	peers   *fakePeers
	hosts   *fakeHosts
	logs    *observer.ObservedLogs
	handler *Handler
	url     string
}

func digest(token string) []byte {
	sum := sha256.Sum256([]byte(token))
	return sum[:]
}

func newBench(t *testing.T) *bench {
	t.Helper()
	core, logs := observer.New(zapcore.DebugLevel)
	b := &bench{
		table: clemstandin.NewTable(), board: clemboard.New(), logs: logs, peers: &fakePeers{}, hosts: &fakeHosts{},
	}
	b.ledger = clemclaim.NewLedger(clemclaim.LedgerConfig{Table: b.table, Interval: time.Millisecond, Workers: 1})
	ctx, cancel := context.WithCancel(context.Background())
	done := b.ledger.Start(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	b.handler = New(Config{
		Board: b.board, Log: clemconfig.NewLog(clemconfig.LogConfig{Table: b.table}), Ledger: b.ledger, Peers: b.peers, Hosts: b.hosts,
		Learn:  b.board.Config().Set,
		Tokens: []Operator{clemsetting.NewOperator("ana", digest(anaToken)), clemsetting.NewOperator("ben", digest(benToken))},
		Events: clemevent.New(zap.New(core)),
	})
	router := chi.NewRouter()
	b.handler.Mount(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	b.url = server.URL
	return b
}

// client returns a client that authenticates with the header's value.
func (b *bench) client(t *testing.T, authorization string) clemwire.OperatorsClient {
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	add := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if authorization != "" {
				r.Header().Set("Authorization", authorization)
			}
			return next(ctx, r)
		}
	})
	return clemwire.NewOperatorsClient(client, b.url, connect.WithInterceptors(add))
}

func (b *bench) ana(t *testing.T) clemwire.OperatorsClient { return b.client(t, "Bearer "+anaToken) }

func req[T any](message *T) *connect.Request[T] { return connect.NewRequest(message) }

// requireError checks code, kind and field of a Connect error.
func requireError(t *testing.T, err error, code connect.Code, kind clementineturn.Kind, field string) {
	t.Helper()
	var remote *connect.Error
	require.True(t, errors.As(err, &remote), "%v", err)
	require.Equal(t, code, remote.Code(), "%v", err)
	e := FromError(err)
	require.Equal(t, kind, e.Kind(), "%v", err)
	require.Equal(t, field, e.Field(), "%v", err)
}

func organisation(name string) *clemwire.Entity {
	return &clemwire.Entity{Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{Name: name, Weight: 1, Queue: 10}}}
}

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

// fakePeers answers for the hosts in its maps by address. Calls to other hosts
// block until their context ends.
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

// fakeHosts is a list of hosts that is unavailable while it is nil.
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

// fixture is a Handler with stand-ins for the table, the hosts and the peers,
// and a server for it.
type fixture struct {
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

func newFixture(t *testing.T) *fixture {
	t.Helper()
	core, logs := observer.New(zapcore.DebugLevel)
	f := &fixture{
		table: clemstandin.NewTable(), board: clemboard.New(), logs: logs, peers: &fakePeers{}, hosts: &fakeHosts{},
	}
	f.ledger = clemclaim.NewLedger(clemclaim.LedgerConfig{Table: f.table, WriteInterval: time.Millisecond, Workers: 1})
	ctx, cancel := context.WithCancel(context.Background())
	done := f.ledger.Start(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	f.handler = New(Config{
		Board: f.board, Log: clemconfig.NewLog(clemconfig.LogConfig{Table: f.table}), Ledger: f.ledger, Peers: f.peers, Hosts: f.hosts,
		OnNewState: f.board.Config().Set,
		Operators:  []Operator{clemsetting.NewOperator("ana", digest(anaToken)), clemsetting.NewOperator("ben", digest(benToken))},
		Events:     clemevent.New(zap.New(core)),
	})
	router := chi.NewRouter()
	f.handler.Mount(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// client returns a client that sends the given Authorization header.
func (f *fixture) client(t *testing.T, authorization string) clemwire.OperatorsClient {
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
	return clemwire.NewOperatorsClient(client, f.url, connect.WithInterceptors(add))
}

func (f *fixture) anaClient(t *testing.T) clemwire.OperatorsClient {
	return f.client(t, "Bearer "+anaToken)
}

func newRequest[T any](message *T) *connect.Request[T] { return connect.NewRequest(message) }

// requireError checks the code, kind and field of a Connect error.
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

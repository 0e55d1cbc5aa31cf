package clemfront

import (
	"cmp"
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemsite"
)

const (
	// connMemoryShare is the share of the process's memory for connections of clients.
	connMemoryShare = 1.0 / 8
	// connMemory is what an idle connection takes: two buffers of 4 KiB, a stack of 4
	// to 8 KiB and the state of net/http.
	connMemory = 16 << 10
	// reservedDescriptors is the number of descriptors that are kept for files.
	reservedDescriptors = 200
	// clientConnShare is the share of the other descriptors for connections of clients:
	// each of their requests may need a connection to a backend server. peerConnShare is
	// that for calls of other entries, and peerConns the number of connections that an
	// entry may need beyond it: one, and another while it replaces one that broke.
	clientConnShare = 0.5
	peerConnShare   = 0.25
	peerConns       = 2
	// minConns is the smallest limit of connections.
	minConns = 16
	// probeConns is the limit of connections for readiness checks and for metrics.
	probeConns = 32
	// probeBudget is the memory in bytes for the heads of readiness checks and metrics. It is
	// apart from that of clients, whose attack must not make an entry look unready, and has
	// room for an ordinary head of each connection.
	probeBudget = 4 << 20
	// unconfiguredMaxHead is the size limit of heads in bytes before there is a
	// configuration, defaultMaxHead under one that states none, which is net/http's.
	unconfiguredMaxHead = 64 << 10
	defaultMaxHead      = 1 << 20
	// headerTimeout and idleTimeout apply to clients if the configuration states none.
	headerTimeout = 15 * time.Second
	// headerTimeSlack is how much later than the configured timeout a head may end, since
	// the network adds to the client's time.
	headerTimeSlack = time.Second
	idleTimeout     = 90 * time.Second
	// innerMaxHead, innerHeadTimeout and innerIdleTimeout apply to the other listeners.
	// Monitoring may reuse its connection after some minutes.
	innerMaxHead     = 8 << 10
	innerHeadTimeout = 5 * time.Second
	innerIdleTimeout = 5 * time.Minute
	// innerReadTimeout bounds a request with its body, which no handler of these listeners
	// reads, and innerWriteTimeout its response: net/http reads a body before it responds.
	// Switching the connection to calls lifts both.
	innerReadTimeout  = 5 * time.Second
	innerWriteTimeout = 15 * time.Second
)

// Names of the listeners in events and metrics.
const (
	listenerClients = "clients"
	listenerReady   = "ready"
	listenerControl = "control"
	listenerMetrics = "metrics"
)

func newBudget(active *activeSettings) *clemquota.Budget {
	return clemquota.NewBudget(clemquota.BudgetFor(active.Load().MemoryLimit()))
}

// maxConnsOf returns the largest number of connections of clients, 0 without a limit.
func maxConnsOf(settings *clemsite.Settings) int {
	limit := shareOfDescriptors(settings, clientConnShare)
	if memory := settings.MemoryLimit(); memory > 0 {
		byMemory := max(int(connMemoryShare*float64(memory)/connMemory), minConns)
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

func shareOfDescriptors(settings *clemsite.Settings, share float64) int {
	if settings.MaxDescriptors() == 0 {
		return 0
	}
	return max(int(share*float64(settings.MaxDescriptors()-reservedDescriptors)), minConns)
}

// maxPeerConns returns the largest number of connections of other entries, 0 without a
// limit. All known entries have room.
func (f *front) maxPeerConns() int {
	limit := shareOfDescriptors(f.settings.Load(), peerConnShare)
	if limit == 0 {
		return 0
	}
	return max(limit, peerConns*f.syncer.EntryCount()+minConns)
}

// applyLimits puts the limits of the settings in force.
func (f *front) applyLimits(settings *clemsite.Settings) {
	f.budget.SetLimit(clemquota.BudgetFor(settings.MemoryLimit()))
	clemquota.LimitProcess(settings.MemoryLimit())
	f.events.Emit(clemevent.IntakeLimits, zap.Int64("budget", f.budget.Limit()), zap.Int("connections", maxConnsOf(settings)))
}

// clientLimits returns the limits on heads and connections of clients.
func (f *front) clientLimits() clemquota.Limits {
	limits := clemquota.Limits{MaxHeadBytes: unconfiguredMaxHead, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if configuration := f.table.Current(); configuration != nil {
		stated := configuration.Limits()
		limits.MaxHeadBytes = cmp.Or(stated.MaxHeaderBytes(), defaultMaxHead)
		if timeout := stated.HeaderTimeout(); timeout > 0 {
			limits.HeadTimeout = timeout + headerTimeSlack
		}
		limits.IdleTimeout = cmp.Or(stated.IdleTimeout(), idleTimeout)
	}
	// Clients may open connections that they use later.
	limits.FirstTimeout = max(limits.HeadTimeout, limits.IdleTimeout)
	return limits
}

func innerLimits() clemquota.Limits {
	return clemquota.Limits{MaxHeadBytes: innerMaxHead, HeadTimeout: innerHeadTimeout, FirstTimeout: innerHeadTimeout, IdleTimeout: innerIdleTimeout}
}

// listen opens the listener of a server with its limits. Errors: KindInvalid.
func (f *front) listen(name, address string, server *http.Server) (*clemquota.Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindInvalid, "listening on %s: %w", address, err)
	}
	return f.limitListener(name, inner, server), nil
}

// limitListener returns the listener with the limits of its name, to which it connects
// the server.
func (f *front) limitListener(name string, inner net.Listener, server *http.Server) *clemquota.Listener {
	config := clemquota.ListenerConfig{
		Listener: inner, Budget: f.budget, Limits: innerLimits, MaxConns: func() int { return probeConns },
		OnRefused: func(reason clemquota.Reason, client net.Addr) {
			f.metrics.Counter(clemmetric.IntakeRefused, "listener", name, "reason", string(reason)).Inc(1)
			event := clemevent.HeadRefused
			if reason == clemquota.ReasonConnections {
				event = clemevent.ConnectionClosed
			}
			f.events.Emit(event, zap.String("listener", name), zap.String("reason", string(reason)), zap.Stringer("client", client))
		},
	}
	switch name {
	case listenerClients:
		config.Limits, config.MaxConns = f.clientLimits, func() int { return maxConnsOf(f.settings.Load()) }
	case listenerControl:
		config.MaxConns = f.maxPeerConns
	default:
		config.Budget = f.probeBudget
	}
	if name != listenerClients {
		server.ReadTimeout, server.WriteTimeout = innerReadTimeout, innerWriteTimeout
	}
	listener := clemquota.NewListener(config)
	server.ConnState, server.ConnContext = listener.ConnState, clemquota.ConnContext
	server.ErrorLog = log.New(httpErrorWriter{f.events}, "", 0)
	return listener
}

func serve(server *http.Server, listener net.Listener, failed chan<- error) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
}

// clientServer returns the server for clients. The deadlines of its connections are
// those of the listener.
func (f *front) clientServer() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	var base context.Context
	base, f.endRequests = context.WithCancelCause(context.Background())
	return &http.Server{Handler: f.router, Protocols: protocols, BaseContext: func(net.Listener) context.Context { return base }}
}

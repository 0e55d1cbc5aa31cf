// Package clemops implements the operators' interface of an entry, a Connect
// service. With an operator's token, clients change the configuration, resolve
// at-most-once calls and read reports on the whole fleet.
package clemops

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemsetting"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// maxRequestBytes is the size of the largest request.
	maxRequestBytes = 1 << 20
	// requestTimeout bounds the handling of one request, including the read of
	// its body.
	requestTimeout = 30 * time.Second
)

// Operator is an operator with the digest of the token that authenticates it.
type Operator = clemsetting.Operator

// Config describes a Handler to construct.
type Config struct {
	Board  *clemboard.Board
	Log    *clemconfig.Log
	Ledger clementineturn.Ledger
	Peers  clementineturn.Peers
	// Hosts is the platform's list of hosts. Unlike the board's members it
	// includes draining hosts, which reports query too.
	Hosts clementineturn.Hosts
	// Self is the entry's own host, which reports query even if the list of
	// hosts lacks it; may be nil.
	Self *clemwire.Host
	// OnNewState is called with each state that is newer than the board's; may be nil.
	OnNewState func(*clemconfig.State)
	// Operators are the operators who may use the interface.
	Operators []Operator
	Events    *clemevent.Logger
}

// Handler implements clemwire.OperatorsHandler.
type Handler struct {
	board      *clemboard.Board
	log        *clemconfig.Log
	ledger     clementineturn.Ledger
	peers      clementineturn.Peers
	hosts      clementineturn.Hosts
	self       *clemwire.Host
	onNewState func(*clemconfig.State)
	operators  []Operator
	events     *clemevent.Logger
}

var _ clemwire.OperatorsHandler = (*Handler)(nil)

// New returns the handler that the configuration describes.
func New(c Config) *Handler {
	return &Handler{
		board: c.Board, log: c.Log, ledger: c.Ledger, peers: c.Peers,
		hosts: c.Hosts, self: c.Self, onNewState: c.OnNewState, operators: c.Operators, events: c.Events,
	}
}

// Mount adds the operators' interface to the router.
func (h *Handler) Mount(router chi.Router) {
	path, handler := clemwire.NewOperatorsHandler(
		h,
		connect.WithCodec(strictJSON{}),
		connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(h.intercept)),
		connect.WithRecover(h.recover),
	)
	router.With(h.authenticate).Handle(path+"*", handler)
}

type operatorKey struct{}

// operatorName returns the name of the operator who sent the request.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// authenticate refuses requests without an operator's token before it reads any
// byte of their body. It bounds the time to handle other requests and to read
// their bodies.
func (h *Handler) authenticate(next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, err := h.identify(r.Header.Values("Authorization"))
		if err != nil {
			h.events.Emit(clemevent.OperatorRefused, zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path), zap.String("reason", err.Message()))
			w.Header().Set("WWW-Authenticate", "Bearer")
			if !writer.IsSupported(r) {
				http.Error(w, err.Error(), err.Kind().Info().Status())
				return
			}
			_ = writer.Write(w, r, connectError(err))
			return
		}
		ctx, cancel := context.WithTimeout(context.WithValue(r.Context(), operatorKey{}, name), requestTimeout)
		defer cancel()
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(requestTimeout))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// identify returns the name of the operator whose token is in the Authorization
// headers. It compares the token's digest with that of every operator in constant
// time to prevent timing attacks.
func (h *Handler) identify(headers []string) (string, *clementineturn.Error) {
	if len(headers) != 1 {
		return "", unauthenticated("found %d Authorization headers, one is needed", len(headers))
	}
	scheme, token, _ := strings.Cut(headers[0], " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", unauthenticated("the Authorization header needs the form \"Bearer TOKEN\"")
	}
	digest := sha256.Sum256([]byte(token))
	name, found := "", 0
	for _, o := range h.operators {
		match := subtle.ConstantTimeCompare(digest[:], o.Digest())
		found |= match
		if match == 1 {
			name = o.Name()
		}
	}
	if found == 0 {
		return "", unauthenticated("no operator holds the token")
	}
	if state := h.board.Config().Get(); state != nil && state.OrganisationByKey(digest[:]) != nil {
		h.events.Emit(clemevent.OperatorTokenIsAPIKey, zap.String("operator", name))
		return "", unauthenticated("the token is also an API key")
	}
	return name, nil
}

func unauthenticated(format string, args ...any) *clementineturn.Error {
	return clementineturn.Refuse(clementineturn.KindUnauthenticated, format, args...)
}

// isToken reports whether the digest belongs to an operator's token.
func (h *Handler) isToken(digest []byte) bool {
	for _, o := range h.operators {
		if subtle.ConstantTimeCompare(o.Digest(), digest) == 1 {
			return true
		}
	}
	return false
}

// state returns the configuration in force in this process, or the newest one of
// the table if the process has none yet.
func (h *Handler) state(ctx context.Context) (*clemconfig.State, error) {
	if state := h.board.Config().Get(); state != nil {
		return state, nil
	}
	state, err := h.log.Advance(ctx, clemconfig.Empty())
	if err != nil {
		return nil, err
	}
	h.publishState(state)
	return state, nil
}

// publishState passes a state on if it is newer than the board's.
func (h *Handler) publishState(state *clemconfig.State) {
	current := h.board.Config().Get()
	if h.onNewState == nil || state == nil || current != nil && current.Generation() >= state.Generation() {
		return
	}
	h.onNewState(state)
}

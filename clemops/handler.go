// Package clemops serves the operators' interface: Connect handlers that
// check, commit and report, for holders of an operator's token only.
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
	// maxMessage is the largest request in bytes.
	maxMessage = 1 << 20
	// maxTime bounds one request.
	maxTime = 30 * time.Second
)

// Operator is one holder of a token.
type Operator = clemsetting.Operator

// Config describes a Handler to construct.
type Config struct {
	Board  *clemboard.Board
	Log    *clemconfig.Log
	Ledger clementineturn.Ledger
	Peers  clementineturn.Peers
	// Hosts is the platform's list. Reports ask also hosts that take no new
	// work, which the board leaves out.
	Hosts clementineturn.Hosts
	// Self is the entry's own host, which reports ask even while the list of
	// hosts lacks it; may be nil.
	Self *clemwire.Host
	// Learn is told of each newer state that a request reached; may be nil.
	Learn  func(*clemconfig.State)
	Tokens []Operator
	Events *clemevent.Logger
}

// Handler implements the Operators service.
type Handler struct {
	board  *clemboard.Board
	log    *clemconfig.Log
	ledger clementineturn.Ledger
	peers  clementineturn.Peers
	hosts  clementineturn.Hosts
	self   *clemwire.Host
	learn  func(*clemconfig.State)
	tokens []Operator
	events *clemevent.Logger
}

var _ clemwire.OperatorsHandler = (*Handler)(nil)

// New returns the handler that the configuration describes.
func New(c Config) *Handler {
	return &Handler{
		board: c.Board, log: c.Log, ledger: c.Ledger, peers: c.Peers,
		hosts: c.Hosts, self: c.Self, learn: c.Learn, tokens: c.Tokens, events: c.Events,
	}
}

// Mount serves the operators' interface on the router.
func (h *Handler) Mount(router chi.Router) {
	path, handler := clemwire.NewOperatorsHandler(
		h,
		connect.WithCodec(strictJSON{}),
		connect.WithReadMaxBytes(maxMessage),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(h.intercept)),
		connect.WithRecover(h.recover),
	)
	router.With(h.authenticate).Handle(path+"*", handler)
}

type operatorKey struct{}

// operator returns the name of the operator that made the request.
func operator(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// authenticate refuses requests without an operator's token before any byte
// of the body is read, and bounds the time to read the body of others.
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
		ctx, cancel := context.WithTimeout(context.WithValue(r.Context(), operatorKey{}, name), maxTime)
		defer cancel()
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(maxTime))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// identify returns the operator that holds the token. It compares the digest
// with each operator's in constant time, so that the time tells nothing.
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
	for _, o := range h.tokens {
		match := subtle.ConstantTimeCompare(digest[:], o.Digest())
		found |= match
		if match == 1 {
			name = o.Name()
		}
	}
	if found == 0 {
		return "", unauthenticated("no operator holds the token")
	}
	if state := h.board.Config().Get(); state != nil && state.Holder(digest[:]) != nil {
		h.events.Emit(clemevent.OperatorShared, zap.String("operator", name))
		return "", unauthenticated("the token is also an API key")
	}
	return name, nil
}

func unauthenticated(format string, args ...any) *clementineturn.Error {
	return clementineturn.Refuse(clementineturn.KindUnauthenticated, format, args...)
}

// isToken reports whether the digest is that of an operator's token.
func (h *Handler) isToken(digest []byte) bool {
	for _, o := range h.tokens {
		if subtle.ConstantTimeCompare(o.Digest(), digest) == 1 {
			return true
		}
	}
	return false
}

// state returns the configuration in force at this process, or the newest of
// the table if the process holds none yet.
func (h *Handler) state(ctx context.Context) (*clemconfig.State, error) {
	if state := h.board.Config().Get(); state != nil {
		return state, nil
	}
	state, err := h.log.Advance(ctx, clemconfig.Empty())
	if err != nil {
		return nil, err
	}
	h.learned(state)
	return state, nil
}

// learned passes on a state that is newer than the board's.
func (h *Handler) learned(state *clemconfig.State) {
	held := h.board.Config().Get()
	if h.learn == nil || state == nil || held != nil && held.Generation() >= state.Generation() {
		return
	}
	h.learn(state)
}

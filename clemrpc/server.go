package clemrpc

import (
	"context"
	"crypto/subtle"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	rpcPath      = "/rpc"
	answersPath  = "/answers"
	serviceName  = "Peer"
	bearerPrefix = "Bearer "
	// frameWriteTimeout bounds the write of a frame to a slow reader.
	frameWriteTimeout = 30 * time.Second
)

// ServerConfig describes a Server to construct.
type ServerConfig struct {
	// Context is the parent of the contexts of all calls. It ends when the
	// process stops, which cancels the running calls.
	Context context.Context
	// Key is the fleet's shared key.
	Key string
	// Peer implements the calls.
	Peer clementineturn.Peer
}

// Server serves the calls of other processes of the fleet.
type Server struct {
	key    string
	peer   clementineturn.Peer
	rpc    *rpc.Server
	cancel context.CancelFunc

	// mu guards conns, the connections that were switched to net/rpc and that
	// http.Server therefore does not close. It is nil once the server is closed.
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewServer returns a server for the configuration.
func NewServer(c ServerConfig) *Server {
	ctx, cancel := context.WithCancel(c.Context)
	s := &Server{key: c.Key, peer: c.Peer, rpc: rpc.NewServer(), cancel: cancel, conns: map[net.Conn]bool{}}
	receiver := &rpcMethods{ctx: ctx, peer: c.Peer}
	if err := s.rpc.RegisterName(serviceName, receiver); err != nil {
		panic(err) // The method set is fixed at compile time.
	}
	return s
}

// Close cancels the contexts of running calls and closes the connections for calls.
// It does not wait for the calls, since offers may wait long in queues.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = nil
}

// trackConn adds a connection to those that Close closes, and reports false if the
// server is closed.
func (s *Server) trackConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) untrackConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Mount adds the server's routes to the router.
func (s *Server) Mount(router chi.Router) {
	router.With(s.authenticate).Connect(rpcPath, s.serveCalls)
	router.With(s.authenticate).Get(answersPath, s.serveAnswer)
}

// authenticate refuses requests without the fleet's key, and those that were evicted.
func (s *Server) authenticate(next http.Handler) http.Handler {
	want := []byte(bearerPrefix + s.key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		// A running answer is not ended because other requests want the memory of its head.
		if err := clemquota.FromContext(r.Context()).Pin(); err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveCalls switches the connection to net/rpc and serves calls until it is
// closed.
func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	if !s.trackConn(conn) {
		return
	}
	defer s.untrackConn(conn)
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	s.rpc.ServeCodec(&serverCodec{newStream(conn, buffered.Reader)})
}

// serveAnswer streams the length-delimited frames of one answer.
func (s *Server) serveAnswer(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	controller := http.NewResponseController(w)
	var buffer []byte
	send := func(frame *clemwire.Frame) (err error) {
		if buffer, err = appendDelimited(buffer[:0], frame); err == nil {
			_, err = w.Write(buffer)
		}
		return err
	}
	fetch := &clemwire.Fetch{
		Request: query.Get("request"), Attempt: query.Get("attempt"),
		Organisation: query.Get("organisation"), From: from,
	}
	err = s.peer.Fetch(r.Context(), fetch, func(frame *clemwire.Frame) error {
		// Without a deadline a reader that stopped, for example a frozen process,
		// would block the stream and the answer would be held for it.
		_ = controller.SetWriteDeadline(time.Now().Add(frameWriteTimeout))
		// The end frame is flushed when the HTTP handler returns.
		if err := send(frame); err != nil || frame.GetEnd() != nil {
			return err
		}
		return controller.Flush()
	})
	if err != nil {
		// An error of the fetch itself is sent as an end frame without an attempt.
		_ = send(&clemwire.Frame{End: &clemwire.End{Refusal: clementineturn.AsError(err).Refusal()}})
	}
}

// rpcMethods adapts a Peer to the method signatures of net/rpc, which calls them by
// name.
type rpcMethods struct {
	ctx  context.Context
	peer clementineturn.Peer
}

// Offer serves Peer.Offer.
func (m *rpcMethods) Offer(offer *clemwire.Offer, verdict *clemwire.Verdict) (err error) {
	defer recoverPanic(&err)
	result, err := m.peer.Offer(m.ctx, offer)
	return setReply(verdict, result, err)
}

// Cancel serves Peer.Cancel.
func (m *rpcMethods) Cancel(cancel *clemwire.Cancel, cancelled *clemwire.Cancelled) (err error) {
	defer recoverPanic(&err)
	result, err := m.peer.Cancel(m.ctx, cancel)
	return setReply(cancelled, result, err)
}

// Void serves Peer.Void.
func (m *rpcMethods) Void(void *clemwire.Void, voided *clemwire.Voided) (err error) {
	defer recoverPanic(&err)
	result, err := m.peer.Void(m.ctx, void)
	return setReply(voided, result, err)
}

// Submit serves Peer.Submit.
func (m *rpcMethods) Submit(submit *clemwire.Submit, submitted *clemwire.Submitted) (err error) {
	defer recoverPanic(&err)
	result, err := m.peer.Submit(m.ctx, submit)
	return setReply(submitted, result, err)
}

// Pull serves Peer.Pull.
func (m *rpcMethods) Pull(pull *clemwire.Pull, pulled *clemwire.Pulled) (err error) {
	defer recoverPanic(&err)
	result, err := m.peer.Pull(m.ctx, pull)
	return setReply(pulled, result, err)
}

// Beat serves Peer.Beat.
func (m *rpcMethods) Beat(beat *clemwire.Beat, beatReply *clemwire.BeatReply) (err error) {
	defer recoverPanic(&err)
	result, err := m.peer.Beat(m.ctx, beat)
	return setReply(beatReply, result, err)
}

// Probe serves Peer.Probe.
func (m *rpcMethods) Probe(_ *clemwire.Probe, probed *clemwire.Probed) (err error) {
	defer recoverPanic(&err)
	result, err := m.peer.Probe(m.ctx)
	return setReply(probed, result, err)
}

// Gather serves Peer.Gather.
func (m *rpcMethods) Gather(_ *clemwire.Gather, gathered *clemwire.Gathered) (err error) {
	defer recoverPanic(&err)
	result, err := m.peer.Gather(m.ctx)
	return setReply(gathered, result, err)
}

// Share serves Peer.Share.
func (m *rpcMethods) Share(share, peerShare *clemwire.Share) (err error) {
	defer recoverPanic(&err)
	result, err := m.peer.Share(m.ctx, share)
	return setReply(peerShare, result, err)
}

// recoverPanic turns a panic into an error of the call. net/rpc does not recover
// panics as net/http does for its handlers, so that one would end the process with
// all its calls.
func recoverPanic(err *error) {
	if cause := recover(); cause != nil {
		*err = encodeError(clementineturn.Errorf(clementineturn.KindInternal, "panic: %v", cause))
	}
}

// encodedError is a clemwire.Refusal as JSON, in which form an error passes through
// the error string of net/rpc.
type encodedError string

func (e encodedError) Error() string { return string(e) }

func encodeError(err error) error {
	text, marshalErr := protojson.Marshal(clementineturn.AsError(err).Refusal())
	if marshalErr != nil {
		return err
	}
	return encodedError(text)
}

func decodeError(err rpc.ServerError) error {
	refusal := &clemwire.Refusal{}
	if protojson.Unmarshal([]byte(err), refusal) != nil {
		return clementineturn.Errorf(clementineturn.KindInternal, "%s", string(err))
	}
	return clementineturn.FromRefusal(refusal)
}

// setReply copies a result into the reply message that net/rpc provides, or returns
// the encoded error.
func setReply(reply, result proto.Message, err error) error {
	if err != nil {
		return encodeError(err)
	}
	proto.Merge(reply, result)
	return nil
}

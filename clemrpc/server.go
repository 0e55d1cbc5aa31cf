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
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	rpcPath     = "/rpc"
	answersPath = "/answers"
	serviceName = "Peer"
	bearer      = "Bearer "
	// answerTimeout bounds a write of a frame to a reader that is slow.
	answerTimeout = 30 * time.Second
)

// ServerConfig describes a Server to construct.
type ServerConfig struct {
	// Context ends the calls that run when the process stops.
	Context context.Context
	// Key is the fleet's shared key.
	Key  string
	Peer clementineturn.Peer
}

// Server answers the calls of other processes of the fleet.
type Server struct {
	key    string
	peer   clementineturn.Peer
	rpc    *rpc.Server
	cancel context.CancelFunc

	// mu guards conns, the connections that were switched to net/rpc, which
	// http.Server no longer knows, or nil once the server is closed.
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewServer returns the server that the configuration describes.
func NewServer(c ServerConfig) *Server {
	ctx, cancel := context.WithCancel(c.Context)
	s := &Server{key: c.Key, peer: c.Peer, rpc: rpc.NewServer(), cancel: cancel, conns: map[net.Conn]bool{}}
	methods := &methods{ctx: ctx, peer: c.Peer}
	if err := s.rpc.RegisterName(serviceName, methods); err != nil {
		panic(err) // The method set is fixed at compile time.
	}
	return s
}

// Close ends the contexts of the calls that run and closes the connections for
// calls. It does not wait for calls, since offers wait in queues.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = nil
}

// enter notes a connection unless the server is closed.
func (s *Server) enter(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) leave(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Mount adds the server's paths to the router.
func (s *Server) Mount(router chi.Router) {
	router.With(s.authenticate).Connect(rpcPath, s.connect)
	router.With(s.authenticate).Get(answersPath, s.answer)
}

// authenticate admits holders of the fleet's key only.
func (s *Server) authenticate(next http.Handler) http.Handler {
	want := []byte(bearer + s.key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) connect(w http.ResponseWriter, _ *http.Request) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	if !s.enter(conn) {
		return
	}
	defer s.leave(conn)
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	s.rpc.ServeCodec(&serverCodec{newStream(conn, buffered.Reader)})
}

// answer streams the frames of one answer, each length-delimited.
func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
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
		// A reader that stopped, for example a frozen one, must not hold the answer.
		_ = controller.SetWriteDeadline(time.Now().Add(answerTimeout))
		// The end of the handler flushes the end frame.
		if err := send(frame); err != nil || frame.GetEnd() != nil {
			return err
		}
		return controller.Flush()
	})
	if err != nil {
		// An error of the fetch itself travels as an end frame without an attempt.
		_ = send(&clemwire.Frame{End: &clemwire.End{Refusal: clementineturn.AsError(err).Refusal()}})
	}
}

// methods adapts a Peer to the method form of net/rpc.
type methods struct {
	ctx  context.Context
	peer clementineturn.Peer
}

// Offer serves Peer.Offer.
func (m *methods) Offer(offer *clemwire.Offer, verdict *clemwire.Verdict) (err error) {
	defer caught(&err)
	got, err := m.peer.Offer(m.ctx, offer)
	return reply(verdict, got, err)
}

// Cancel serves Peer.Cancel.
func (m *methods) Cancel(cancel *clemwire.Cancel, cancelled *clemwire.Cancelled) (err error) {
	defer caught(&err)
	got, err := m.peer.Cancel(m.ctx, cancel)
	return reply(cancelled, got, err)
}

// Void serves Peer.Void.
func (m *methods) Void(void *clemwire.Void, voided *clemwire.Voided) (err error) {
	defer caught(&err)
	got, err := m.peer.Void(m.ctx, void)
	return reply(voided, got, err)
}

// Submit serves Peer.Submit.
func (m *methods) Submit(submit *clemwire.Submit, submitted *clemwire.Submitted) (err error) {
	defer caught(&err)
	got, err := m.peer.Submit(m.ctx, submit)
	return reply(submitted, got, err)
}

// Pull serves Peer.Pull.
func (m *methods) Pull(pull *clemwire.Pull, pulled *clemwire.Pulled) (err error) {
	defer caught(&err)
	got, err := m.peer.Pull(m.ctx, pull)
	return reply(pulled, got, err)
}

// Beat serves Peer.Beat.
func (m *methods) Beat(beat *clemwire.Beat, back *clemwire.BeatReply) (err error) {
	defer caught(&err)
	got, err := m.peer.Beat(m.ctx, beat)
	return reply(back, got, err)
}

// Probe serves Peer.Probe.
func (m *methods) Probe(_ *clemwire.Probe, probed *clemwire.Probed) (err error) {
	defer caught(&err)
	got, err := m.peer.Probe(m.ctx)
	return reply(probed, got, err)
}

// Gather serves Peer.Gather.
func (m *methods) Gather(_ *clemwire.Gather, gathered *clemwire.Gathered) (err error) {
	defer caught(&err)
	got, err := m.peer.Gather(m.ctx)
	return reply(gathered, got, err)
}

// Share serves Peer.Share.
func (m *methods) Share(share, answer *clemwire.Share) (err error) {
	defer caught(&err)
	got, err := m.peer.Share(m.ctx, share)
	return reply(answer, got, err)
}

// caught turns a panic into an error of the call, as net/http does for its
// handlers: net/rpc would let it end the process and all other calls.
func caught(err *error) {
	if cause := recover(); cause != nil {
		*err = encodeError(clementineturn.Errorf(clementineturn.KindInternal, "panic: %v", cause))
	}
}

// callError carries an error of the closed list through net/rpc's error string.
type callError string

func (e callError) Error() string { return string(e) }

func encodeError(err error) error {
	text, marshalErr := protojson.Marshal(clementineturn.AsError(err).Refusal())
	if marshalErr != nil {
		return err
	}
	return callError(text)
}

func decodeError(err rpc.ServerError) error {
	refusal := &clemwire.Refusal{}
	if protojson.Unmarshal([]byte(err), refusal) != nil {
		return clementineturn.Errorf(clementineturn.KindInternal, "%s", string(err))
	}
	return clementineturn.FromRefusal(refusal)
}

// reply moves a result into the message that net/rpc provides.
func reply(to, from proto.Message, err error) error {
	if err != nil {
		return encodeError(err)
	}
	proto.Merge(to, from)
	return nil
}

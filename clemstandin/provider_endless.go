package clemstandin

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// trickleInterval is the interval at which an EndlessServer goes on after what it sends at
// once, and trickleSize the number of bytes.
const (
	trickleInterval = 100 * time.Millisecond
	trickleSize     = 8
)

// EndlessConfig describes an EndlessServer to construct. Its texts are sent at once, in the
// order of the fields.
type EndlessConfig struct {
	// Status is the status line, "" for that of a success with the fields of the platform.
	Status string
	// Head are further lines of the head.
	Head string
	// Body follows the end of the head, unless it is "": the head then never ends.
	Body string
}

// EndlessServer stands in for a backend server in trouble: it answers each request with
// bytes that do not end until the caller closes the connection.
type EndlessServer struct {
	config   EndlessConfig
	listener net.Listener

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	running sync.WaitGroup
}

// StartEndlessServer starts the server that the configuration describes on an address of
// the loopback interface. It must be closed.
func StartEndlessServer(c EndlessConfig) (*EndlessServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &EndlessServer{config: c, listener: listener, conns: map[net.Conn]struct{}{}}
	s.running.Go(s.accept)
	return s, nil
}

// Address returns the address at which the server listens.
func (s *EndlessServer) Address() string { return s.listener.Addr().String() }

// Close closes all connections and waits for their ends.
func (s *EndlessServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *EndlessServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		s.running.Go(func() {
			s.answer(conn)
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		})
	}
}

// answer sends bytes until the caller closes the connection.
func (s *EndlessServer) answer(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	text := s.config.Status
	if text == "" {
		text = "HTTP/1.1 200 OK\r\nX-Response-Stamp: endless\r\n"
		// A list of cached parts is asked for without an id.
		if id := request.Header.Get("X-Request-Id"); id != "" {
			text += "X-Request-Id: " + id + "\r\n"
		}
	}
	text += s.config.Head
	rest := bytes.Repeat([]byte("a"), trickleSize)
	if s.config.Body != "" {
		text += "\r\n" + s.config.Body
		rest = []byte(s.config.Body[:min(trickleSize, len(s.config.Body))])
	}
	if _, err := io.Copy(conn, strings.NewReader(text)); err != nil {
		return
	}
	for err == nil {
		time.Sleep(trickleInterval)
		_, err = conn.Write(rest)
	}
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// backendServer is a stand-in of a backend server that speaks HTTP on raw channels,
// one request at a time on each, so that a case decides about every byte.
type backendServer struct {
	id      string
	bench   *bench
	address string
	// handle answers one request. It returns false to close the channel.
	handle func(c *channel, r *http.Request, body []byte) bool

	mu   sync.Mutex
	runs map[string]int
}

// channel is one channel to a backend server. data is free for the case.
type channel struct {
	net.Conn
	data any
}

// newBackend starts a server at a free port of the address.
func (b *bench) newBackend(id, ip string, handle func(s *backendServer, c *channel, r *http.Request, body []byte) bool) (*backendServer, error) {
	return b.newBackendAt(id, ip+":0", handle)
}

// newBackendAt is newBackend for an address with a port.
func (b *bench) newBackendAt(id, address string, handle func(s *backendServer, c *channel, r *http.Request, body []byte) bool) (*backendServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &backendServer{id: id, bench: b, address: listener.Addr().String(), runs: map[string]int{}}
	s.handle = func(c *channel, r *http.Request, body []byte) bool { return handle(s, c, r, body) }
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(&channel{Conn: conn})
		}
	}()
	return s, nil
}

func (s *backendServer) serve(c *channel) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.Header.Get("X-Expected-Instance") != s.id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !s.handle(c, r, body) {
			return
		}
	}
}

// run counts a run of the request and returns its number.
func (s *backendServer) run(r *http.Request) int {
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.bench.note("%s runs %s %s %s", s.id, r.Method, r.RequestURI, id)
	return s.runs[id]
}

// ran returns how often the request has run here.
func (s *backendServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// respond writes a whole answer with the server's stamp.
func (s *backendServer) respond(c *channel, r *http.Request, status int, body string) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s.1.%s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("X-Request-Id"), s.id, r.Header.Get("X-Request-Id"), len(body), body)
	_, _ = io.WriteString(c, b.String())
}

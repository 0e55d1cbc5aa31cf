package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// callsPerSecond is the rate of the site's requests to the application.
const callsPerSecond = 35

var appService = map[string]any{"name": "khat-app", "health_path": "/healthz", "max_connections": 100}

// backend is a stand-in of a server. It answers each request on a connection in turn.
type backend struct {
	fleet       *fleet
	id, service string
	listener    net.Listener
	// accept, if set, serves a connection in place of serve.
	accept func(b *backend, conn net.Conn)
	// serve answers a request. It returns false to close the connection.
	serve func(conn net.Conn, request *http.Request, body []byte, number int) bool

	mu    sync.Mutex
	conns []net.Conn
}

// newBackend starts a server, which writes its row to the store.
func (f *fleet) newBackend(id, service, zone string, slots int, serve func(net.Conn, *http.Request, []byte, int) bool) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("a server cannot listen: %v", err)
	}
	return f.newBackendOn(listener, id, service, zone, slots, serve)
}

// newBackendOn is newBackend with a listener.
func (f *fleet) newBackendOn(listener net.Listener, id, service, zone string, slots int, serve func(net.Conn, *http.Request, []byte, int) bool) *backend {
	b := &backend{fleet: f, id: id, service: service, listener: listener, serve: serve}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns = append(b.conns, conn)
			b.mu.Unlock()
			go b.handle(conn)
		}
	}()
	// Its heartbeats change nothing but seq, which does not change the row.
	f.store.put("servers", id, map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return b
}

// leave removes the server's row. The server serves on.
func (b *backend) leave() { b.fleet.store.remove("servers", b.id) }

// exit ends the server with the requests that it runs.
func (b *backend) exit() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, conn := range b.conns {
		_ = conn.Close()
	}
}

func (b *backend) handle(conn net.Conn) {
	defer conn.Close()
	if b.accept != nil {
		b.accept(b, conn)
		return
	}
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.Header.Get("X-Expected-Instance") != b.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id)
			continue
		}
		if !b.serve(conn, request, body, number) {
			return
		}
	}
}

// run records that the server began to work on the request.
func (b *backend) run(request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	b.fleet.log("server %s runs request %s of tenant %s", b.id, id, request.Header.Get("X-Tenant"))
}

// answer returns an answer of the server with its receipt.
func answer(status int, id, stamp, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nContent-Type: text/plain\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, stamp, headers, len(body), body)
}

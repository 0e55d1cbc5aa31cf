package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// eventCount is the number of events of a whole stream, and eventInterval the
	// time between two of them.
	eventCount    = 20
	eventInterval = 50 * time.Millisecond
)

// wholeAnswer returns the body of the whole answer to a request.
func wholeAnswer(id string) string {
	var b strings.Builder
	for n := 1; n <= eventCount; n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}

func event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s part %d of %d\n\n", n, id, n, eventCount)
}

// serveUndelimited is the process of a model server whose answers have neither a
// length nor chunks and end with their channel.
func serveUndelimited(id, address string) error {
	b := &bench{started: time.Now(), network: strings.Split(address, ":")[0]}
	_, err := b.newBackendAt(id, address, func(_ *backendServer, c *channel, r *http.Request, _ []byte) bool {
		request := r.Header.Get("X-Request-Id")
		fmt.Printf("%s runs %s\n", id, request)
		kind := "text/event-stream"
		if r.Method == http.MethodGet {
			kind = "text/plain"
		}
		head := "HTTP/1.1 200 OK\r\nContent-Type: " + kind + "\r\nConnection: close\r\nX-Request-Id: " + request + "\r\nX-Response-Stamp: " + id + ".1." + request + "\r\n\r\n"
		_, _ = io.WriteString(c, head)
		for n := 1; n <= eventCount; n++ {
			if _, err := io.WriteString(c, event(request, n)); err != nil {
				return false
			}
			time.Sleep(eventInterval)
		}
		fmt.Printf("%s has answered %s whole\n", id, request)
		return false
	})
	if err != nil {
		return err
	}
	select {}
}

// runUndelimited kills one of four servers while it answers. Half of the requests
// are streams, the others plain ones.
func runUndelimited(b *bench) (int, error) {
	stream := route("r-1", "/lohu930/", "stream", "huvo11a", 5000, 1)
	plain := route("r-2", "/cufi504/", "safe", "huvo11a", 5000, 2)
	if _, err := b.putManifest(7, []string{"key-1"}, []string{"huvo11a"}, stream, plain); err != nil {
		return 0, err
	}
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	var servers []*exec.Cmd
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i)
		address, err := freePort(b.network + ".3")
		if err != nil {
			return 0, err
		}
		p, err := b.start(id, nil, self, "server", id, address)
		if err != nil {
			return 0, err
		}
		servers = append(servers, p)
		if err := b.putServer(id, "huvo11a", address, 1700000000000+int64(i), 128); err != nil {
			return 0, err
		}
	}
	fronts, err := b.newFronts(1, b.storeAddress)
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	broken, served := 0, 0
	for i := range 32 {
		wg.Go(func() {
			q := query{method: http.MethodPost, path: "/lohu930/2f", key: "key-1", id: fmt.Sprintf("9c41d07be2a3%04x", i), deadline: 5 * time.Second, body: []byte("crib")}
			if i%2 == 1 {
				q.method, q.path, q.body = http.MethodGet, "/cufi504/2f", nil
			}
			a := ask(fronts[0], q)
			whole := wholeAnswer(q.id)
			b.note("%s %s: %d %s, %d of %d bytes, Content-Length %q, server's stamp %q",
				q.method, q.id, a.status, a.complete(), len(a.body), len(whole), a.header.Get("Content-Length"), a.header.Get("X-Response-Stamp"))
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK && a.err == nil {
				served++
				if string(a.body) != whole {
					broken++
					b.note("%s looks complete and isn't; it ends with %q", q.id, a.body[max(len(a.body)-60, 0):])
				}
			}
		})
	}
	time.Sleep(10 * eventInterval)
	if b.trouble {
		b.note("server i-0 crashes")
		_ = servers[0].Process.Signal(syscall.SIGKILL)
	}
	wg.Wait()
	if served == 0 {
		return 0, cannotRun("no request was served")
	}
	return broken, nil
}

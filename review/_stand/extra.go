package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// extraEvery is how many answers of the faulty server there are for each one that is
	// followed by additional bytes.
	extraEvery = 33
	// callsPerSecond is the rate of the orders and extraTime how long they are sent.
	callsPerSecond = 35
	extraTime      = 20 * time.Second
	// troubleTime is how long the faulty server sends additional bytes.
	troubleTime = 5500 * time.Millisecond
)

var appService = map[string]any{"name": "khat-app", "health_path": "/healthz", "max_connections": 100}

// extraBytes runs orders at three servers, one of which sends additional bytes after some
// of its complete answers: late, where the answer to the next request on the channel is
// due. The function returns the bytes from the tenant, id and body of the answer that they
// follow. All servers name the request in their answers.
func extraBytes(f *fleet, bytes func(tenant, id, body string) string) (foreign, twice int) {
	f.putManifest(1, []map[string]any{route("cot-reserve", "unsafe", "khat-app", 1200, 150, nil)}, []map[string]any{appService})
	backends := make([]*backend, 3)
	var mu sync.Mutex
	var start time.Time
	answers := 0
	late := map[net.Conn]string{}
	for i := range backends {
		backends[i] = f.newBackend(fmt.Sprintf("i-app%d", i), "khat-app", "kol-a", 6, func(conn net.Conn, request *http.Request, _ []byte, _ int) bool {
			b, id, tenant := backends[i], request.Header.Get("X-Request-Id"), request.Header.Get("X-Tenant")
			b.run(request)
			mu.Lock()
			extra := late[conn]
			delete(late, conn)
			mu.Unlock()
			if extra != "" {
				f.log("server %s sends the additional bytes of its last answer, before its answer to %s", b.id, id)
				_, _ = io.WriteString(conn, extra)
			}
			time.Sleep(30 * time.Millisecond)
			body := fmt.Sprintf("order %s of %s is paid", id, tenant)
			if _, err := io.WriteString(conn, answer(200, id, "stamp-"+id, "", body)); err != nil {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			if since := time.Since(start); i == 0 && f.hasDisruption && !start.IsZero() && since > 5*time.Second && since < 5*time.Second+troubleTime {
				if answers++; answers%extraEvery == 5 {
					late[conn] = bytes(tenant, id, body)
				}
			}
			return true
		})
	}
	o := f.newFront("front-kol-a-1", "kol-a", f.store.address, nil)
	o.waitReady()
	mu.Lock()
	start = time.Now()
	mu.Unlock()
	var consumers sync.WaitGroup
	var wrong atomic.Int64
	count := 0
	for ; time.Since(start) < extraTime; count++ {
		tenant, id := []string{"howrah", "siliguri"}[count%2], fmt.Sprintf("%016x", 0x9000+count)
		consumers.Go(func() {
			r := send(o.client, http.MethodPost, "/cot-reserve/x", id, "key-"+tenant, 2500*time.Millisecond, "")
			f.log("consumer of %s sent %s and got status %d, stamp %q, body %q, error %v", tenant, id, r.status, r.header.Get("X-Response-Stamp"), r.body, r.err)
			if r.err == nil && r.status == http.StatusOK && r.body != fmt.Sprintf("order %s of %s is paid", id, tenant) {
				wrong.Add(1)
				f.log("the answer to %s belongs to another request", id)
			}
		})
		time.Sleep(time.Second / callsPerSecond)
	}
	consumers.Wait()
	for i := range count {
		id, runs := fmt.Sprintf("%016x", 0x9000+i), 0
		for _, b := range backends {
			runs += b.hasRun(id)
		}
		if runs > 1 {
			twice++
			f.log("request %s, which is not idempotent, ran %d times", id, runs)
		}
	}
	return int(wrong.Load()), twice
}

// foreignAnswer lets the additional bytes be a second copy of the answer, without an id.
func foreignAnswer(f *fleet) {
	foreign, _ := extraBytes(f, func(_, id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Stamp: stamp-%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	})
	f.finish(foreign > 0, "MIXED: %d consumers got the answer to another request", foreign)
}

// orderTwice lets the additional bytes be a refusal without an id.
func orderTwice(f *fleet) {
	_, twice := extraBytes(f, func(string, string, string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	})
	f.finish(twice > 0, "TWICE: %d orders ran more than once", twice)
}

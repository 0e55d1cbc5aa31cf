package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// firstPart is shared by all requests of the route, and crashingPart only by
	// those that crash servers. Both stand in the example of PROTOCOL.md.
	firstPart, crashingPart, soundPart = "5c1e07a2", "91bd3f06", "77aa01f3"
	// downTime is how long a server is away after a crash.
	downTime = 2 * time.Second
	// crashInterval is the interval of requests that crash servers.
	crashInterval = 1500 * time.Millisecond
)

// model is a model server that crashes on one part of a prompt as it begins to
// write an answer on it. It comes back at its address as a new boot.
type model struct {
	bench *bench
	id    string
	at    string

	mu       sync.Mutex
	listener net.Listener
	open     map[*channel]bool
	crashes  int
	born     int64
	started  map[string]bool
}

func (m *model) listen() error {
	listener, err := net.Listen("tcp", m.at)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.listener, m.at, m.open = listener, listener.Addr().String(), map[*channel]bool{}
	m.born++
	born := m.born
	m.mu.Unlock()
	s := &backendServer{id: m.id, bench: m.bench, runs: map[string]int{}, handle: m.handle}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c := &channel{Conn: conn}
			m.mu.Lock()
			m.open[c] = true
			m.mu.Unlock()
			go s.serve(c)
		}
	}()
	return m.bench.putServer(m.id, "huvo11a", m.at, 1700000000000+born, 128)
}

// crash ends the server as the end of its process does, and starts it again.
func (m *model) crash(request string) {
	m.bench.note("%s crashes on %s", m.id, request)
	m.mu.Lock()
	m.crashes++
	_ = m.listener.Close()
	for c := range m.open {
		_ = c.Close()
	}
	m.mu.Unlock()
	time.AfterFunc(downTime, func() {
		if err := m.listen(); err != nil {
			m.bench.note("%s doesn't come back: %v", m.id, err)
		}
	})
}

func (m *model) handle(c *channel, r *http.Request, _ []byte) bool {
	id := r.Header.Get("X-Request-Id")
	m.mu.Lock()
	m.started[id] = true
	m.mu.Unlock()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Request-Id: "+id+"\r\nX-Response-Stamp: "+m.id+".1."+id+"\r\n\r\n")
	if strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashingPart) {
		m.crash(id)
		return false
	}
	for n := 1; n <= 6; n++ {
		if _, err := io.WriteString(c, fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)); err != nil {
			return false
		}
		time.Sleep(30 * time.Millisecond)
	}
	return false
}

// runPoison sends requests with a part that crashes servers among sound ones, which
// share the first part and the key.
func runPoison(b *bench) (int, error) {
	var models []*model
	for i := range 6 {
		m := &model{bench: b, id: fmt.Sprintf("i-%d", i), at: b.network + ".3:0", started: map[string]bool{}}
		if err := m.listen(); err != nil {
			return 0, err
		}
		models = append(models, m)
	}
	r := route("r-1", "/pufi791/", "stream", "huvo11a", 4000, 2)
	r["resumable"], r["session_affinity"] = true, true
	if _, err := b.putManifest(7, []string{"key-1"}, []string{"huvo11a"}, r); err != nil {
		return 0, err
	}
	fronts, err := b.newFronts(2, b.storeAddress)
	if err != nil {
		return 0, err
	}
	hasStarted := func(id string) bool {
		for _, m := range models {
			m.mu.Lock()
			started := m.started[id]
			m.mu.Unlock()
			if started {
				return true
			}
		}
		return false
	}
	send := func(n int, id, part string) answer {
		return ask(fronts[n%2], query{
			method: http.MethodPost, path: "/pufi791/2f", key: "key-1", id: id, deadline: 4 * time.Second, body: []byte("draft"),
			header: map[string]string{"X-Model": "m", "X-Token-Counts": "1460,80", "X-Prompt-Prefix": fmt.Sprintf("%s:800,%s:410,%x:250", firstPart, part, n+4096)},
		})
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	type count struct{ sent, begun int }
	var before, after count
	var fifthCrash time.Time
	start := time.Now()
	calm := start.Add(8 * time.Second)
	end := start.Add(40 * time.Second)
	nextCrash := calm
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() {
			id := fmt.Sprintf("sound-%d", n)
			a := send(n, id, soundPart)
			begun := hasStarted(id)
			b.note("%s: %d %s, begun at the first attempt: %v", id, a.status, a.complete(), begun)
			mu.Lock()
			defer mu.Unlock()
			var c *count
			switch {
			case a.sentAt.Before(calm):
				c = &before
			case !fifthCrash.IsZero() && a.sentAt.After(fifthCrash.Add(2*touch)):
				c = &after
			default:
				return
			}
			c.sent++
			if begun {
				c.begun++
			}
		})
		if now := time.Now(); b.trouble && now.After(nextCrash) {
			nextCrash = now.Add(crashInterval)
			wg.Go(func() {
				id := fmt.Sprintf("crashing-%d", n)
				a := send(n, id, crashingPart)
				b.note("%s: %d %s", id, a.status, a.complete())
			})
		}
		crashes := 0
		for _, m := range models {
			m.mu.Lock()
			crashes += m.crashes
			m.mu.Unlock()
		}
		mu.Lock()
		if crashes >= 5 && fifthCrash.IsZero() {
			fifthCrash = time.Now()
			b.note("the fifth crash")
		}
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	b.note("before: %d of %d begun; later than twice touch_ms after the fifth crash: %d of %d", before.begun, before.sent, after.begun, after.sent)
	if b.trouble && (after.sent < 20 || before.sent < 20) {
		return 0, cannotRun("too few requests, or no five crashes")
	}
	if before.sent >= 20 && after.sent >= 20 && 2*after.begun*before.sent < before.begun*after.sent {
		return after.sent - after.begun, nil
	}
	return 0, nil
}

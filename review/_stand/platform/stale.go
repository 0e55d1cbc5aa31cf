package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// cycles is how often a server comes and leaves.
	cycles = 4
	// orders is the number of orders that are sent afterwards.
	orders = 200
)

// staleServer lets a server come and leave while one of two fronts is suspended.
// The server leaves as some do: its row is removed, and it
// serves on for many seconds.
func staleServer(f *fleet) {
	f.putManifest(1, []map[string]any{route("cot-reserve", "unsafe", "khat-app", 1200, 150, nil)}, []map[string]any{appService})
	var mu sync.Mutex
	reached := map[string][]time.Time{}
	serve := func(id string) func(net.Conn, *http.Request, []byte, int) bool {
		return func(conn net.Conn, request *http.Request, _ []byte, _ int) bool {
			name := request.Header.Get("X-Request-Id")
			mu.Lock()
			reached[id] = append(reached[id], time.Now())
			mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			_, err := io.WriteString(conn, answer(200, name, "stamp-"+name, "", "answer to "+name))
			return err == nil
		}
	}
	for i := range 3 {
		id := fmt.Sprintf("i-app%d", i)
		f.newBackend(id, "khat-app", "kol-a", 6, serve(id))
	}
	b := f.newFront("front-kol-b-1", "kol-b", f.store.address, nil)
	b.waitReady()
	c := f.newFront("front-kol-c-1", "kol-c", f.store.address, []string{b.control})
	c.waitReady()
	time.Sleep(4 * time.Second)

	left := map[string]time.Time{}
	var leaving []*backend
	for i := range cycles {
		id := fmt.Sprintf("i-new%d", i)
		if f.hasDisruption {
			f.log("front %s is suspended", c.name)
			_ = c.command.Process.Signal(syscall.SIGSTOP)
		}
		time.Sleep(200 * time.Millisecond)
		added := f.newBackend(id, "khat-app", "kol-a", 6, serve(id))
		f.log("server %s starts and writes its row", id)
		time.Sleep(3500 * time.Millisecond)
		added.leave()
		left[id] = time.Now()
		leaving = append(leaving, added)
		f.log("the row of server %s is removed; it serves on", id)
		time.Sleep(50 * time.Millisecond)
		if f.hasDisruption {
			f.log("front %s goes on", c.name)
			_ = c.command.Process.Signal(syscall.SIGCONT)
		}
		time.Sleep(time.Second)
	}
	// From touch_ms after the end of the disturbance both machines are in touch.
	time.Sleep(3 * time.Second)
	inTouch := time.Now()
	f.log("consumers send orders, more than 3 s after the last disturbance")
	var consumers sync.WaitGroup
	var lost atomic.Int64
	for i := range orders {
		if i == orders/2 {
			f.log("the servers that have left exit")
			for _, added := range leaving {
				added.exit()
			}
		}
		o := []*front{b, c}[i%2]
		consumers.Go(func() {
			name := fmt.Sprintf("%016x", 0x9000+i)
			r := send(o.client, http.MethodPost, "/cot-reserve/x", name, "key-howrah", 2500*time.Millisecond, "")
			f.log("consumer sent %s to %s and got status %d, body %q, error %v", name, o.name, r.status, r.body, r.err)
			if r.status == http.StatusBadGateway || r.err != nil {
				lost.Add(1)
			}
		})
		time.Sleep(time.Second / callsPerSecond)
	}
	consumers.Wait()
	mu.Lock()
	late := 0
	for id, at := range left {
		n := 0
		for _, when := range reached[id] {
			if when.After(inTouch) {
				n++
			}
		}
		f.log("server %s got %d orders from %.1f s on after its row was removed", id, n, inTouch.Sub(at).Seconds())
		late += n
	}
	mu.Unlock()
	f.finish(late > 0, "DRAIN: %d of %d orders reached servers 4 s or more after their rows were removed; %d were broken off", late, orders, lost.Load())
}

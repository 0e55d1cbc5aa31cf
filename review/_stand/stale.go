package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// staleServer lets a server come and leave while one front is suspended and the other one
// is cut off from the store. The server leaves as some do: its row is removed, and it
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
			time.Sleep(30 * time.Millisecond)
			_, err := io.WriteString(conn, answer(200, name, "stamp-"+name, "", "answer to "+name))
			return err == nil
		}
	}
	for i := range 3 {
		id := fmt.Sprintf("i-app%d", i)
		f.newBackend(id, "khat-app", "kol-a", 6, serve(id))
	}
	linkB := newLink(f.store.address)
	b := f.newFront("front-kol-b-1", "kol-b", linkB.address, nil)
	b.waitReady()
	c := f.newFront("front-kol-c-1", "kol-c", f.store.address, []string{b.control})
	c.waitReady()
	time.Sleep(4 * time.Second)

	if f.hasDisruption {
		f.log("front %s is suspended", c.name)
		_ = c.command.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(200 * time.Millisecond)
	id := "i-app9"
	added := f.newBackend(id, "khat-app", "kol-a", 6, serve(id))
	f.log("server %s starts and writes its row", id)
	time.Sleep(1800 * time.Millisecond)
	if f.hasDisruption {
		f.log("front %s is cut off from the store", b.name)
		linkB.cut(true)
	}
	time.Sleep(1500 * time.Millisecond)
	added.leave()
	left := time.Now()
	f.log("the row of server %s is removed; it serves on", id)
	time.Sleep(500 * time.Millisecond)
	if f.hasDisruption {
		f.log("front %s goes on", c.name)
		_ = c.command.Process.Signal(syscall.SIGCONT)
	}
	time.Sleep(3 * time.Second)
	if f.hasDisruption {
		f.log("front %s reaches the store again", b.name)
		linkB.cut(false)
	}
	healed := time.Now()
	// From touch_ms after the end of the disturbance both machines are in touch.
	time.Sleep(3500 * time.Millisecond)
	inTouch := time.Now()
	f.log("consumers send orders from %.1f s after the end of the disturbance and %.1f s after the removal", inTouch.Sub(healed).Seconds(), inTouch.Sub(left).Seconds())
	for i := range 100 {
		o := []*front{b, c}[i%2]
		name := fmt.Sprintf("%016x", 0x9000+i)
		r := send(o.client, http.MethodPost, "/cot-reserve/x", name, "key-howrah", 2500*time.Millisecond, "")
		f.log("consumer sent %s to %s and got status %d, body %q, error %v", name, o.name, r.status, r.body, r.err)
		time.Sleep(30 * time.Millisecond)
	}
	mu.Lock()
	late := 0
	for _, at := range reached[id] {
		if at.After(inTouch) {
			late++
		}
	}
	mu.Unlock()
	f.finish(late > 0, "DRAIN: %d of 100 orders reached a server %.1f to %.1f s after its row was removed", late, inTouch.Sub(left).Seconds(), time.Since(left).Seconds())
}

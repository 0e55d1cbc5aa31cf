package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// refusedAfterRun lets a server run an order and answer it with 429 or 408 of its own,
// without X-Not-Executed. The consumer sends an order that was refused again.
func refusedAfterRun(f *fleet) {
	f.putManifest(1, []map[string]any{route("cot-reserve", "unsafe", "khat-app", 1200, 150, nil)}, []map[string]any{appService})
	var mu sync.Mutex
	count, paid := 0, map[string]int{}
	serve := func(b **backend) func(net.Conn, *http.Request, []byte, int) bool {
		return func(conn net.Conn, request *http.Request, _ []byte, _ int) bool {
			id, cot := request.Header.Get("X-Request-Id"), request.URL.Path
			(*b).run(request)
			time.Sleep(30 * time.Millisecond)
			mu.Lock()
			paid[cot]++
			count++
			status := 200
			if f.hasDisruption && count%5 == 0 {
				status = []int{429, 408}[count/5%2]
			}
			mu.Unlock()
			f.log("server %s has run request %s, payment for %s is booked, answers %d without X-Not-Executed", (*b).id, id, cot, status)
			_, err := io.WriteString(conn, answer(status, id, "stamp-"+id, "", "answer to "+id))
			return err == nil
		}
	}
	backends := make([]*backend, 3)
	for i := range backends {
		backends[i] = f.newBackend(fmt.Sprintf("i-app%d", i), "khat-app", "kol-a", 6, serve(&backends[i]))
	}
	o := f.newFront("front-kol-a-1", "kol-a", f.store.address, nil)
	o.waitReady()
	false429, twice := 0, 0
	for i := range 40 {
		path := fmt.Sprintf("/cot-reserve/cot-%d", i)
		for attempt := range 2 {
			id := fmt.Sprintf("%016x", 0x9000+16*i+attempt)
			r := send(o.client, http.MethodPost, path, id, "key-howrah", 2500*time.Millisecond, "")
			runs := 0
			for _, b := range backends {
				runs += b.hasRun(id)
			}
			f.log("consumer sent %s for %s and got status %d, stamp %q, error %v; it ran %d times", id, path, r.status, r.header.Get("X-Response-Stamp"), r.err, runs)
			isPromise := r.err == nil && (r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421)
			if isPromise && runs > 0 {
				false429++
				f.log("the status promises that the request has not run, and it has")
			}
			if !isPromise {
				break
			}
		}
		mu.Lock()
		if paid[path] > 1 {
			twice++
			f.log("%s was paid for %d times", path, paid[path])
		}
		mu.Unlock()
	}
	f.finish(false429 > 0, "REFUSED: %d requests that are not idempotent had run and were answered 429 or 408; %d of 40 cots were paid for twice", false429, twice)
}

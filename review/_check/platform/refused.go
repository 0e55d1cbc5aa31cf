package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// failEvery is the number of requests of which a server fails one.
const failEvery = 3

// runRefused lets the servers of the order application fail a third of the requests
// that they have run, with status 429 and without the header that says that a
// request wasn't run. Clients send again what was refused, as a new request.
func runRefused(b *bench) (int, error) {
	if _, err := b.putManifest(7, []string{"key-1"}, []string{"wuno96b"}, route("r-1", "/puxa403/", "unsafe", "wuno96b", 1200, 1)); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	requests := 0
	var servers []*backendServer
	for i := range 2 {
		s, err := b.newBackend(fmt.Sprintf("i-%d", i), b.network+".3", func(s *backendServer, c *channel, r *http.Request, _ []byte) bool {
			s.run(r)
			time.Sleep(20 * time.Millisecond)
			mu.Lock()
			requests++
			fails := b.trouble && requests%failEvery == 0
			mu.Unlock()
			if fails {
				s.respond(c, r, http.StatusTooManyRequests, "reserved, but the payment provider takes no more now\n")
			} else {
				s.respond(c, r, http.StatusOK, "reserved\n")
			}
			return true
		})
		if err != nil {
			return 0, err
		}
		if err := b.putServer(s.id, "wuno96b", s.address, 1700000000000+int64(i), 6); err != nil {
			return 0, err
		}
		servers = append(servers, s)
	}
	fronts, err := b.newFronts(1, b.storeAddress)
	if err != nil {
		return 0, err
	}
	broken, served := 0, 0
	for cot := range 60 {
		runs := 0
		for attempt := range 2 {
			id := fmt.Sprintf("9c41d07b%04x%04x", cot, attempt)
			a := ask(fronts[0], query{method: http.MethodPost, path: "/puxa403/2f", key: "key-1", id: id, deadline: 2500 * time.Millisecond, body: fmt.Appendf(nil, "cot %d", cot)})
			ran := servers[0].ran(id) + servers[1].ran(id)
			runs += ran
			b.note("%s, unsafe: %d %s, server's stamp %q; it has run %d times", id, a.status, a.complete(), a.header.Get("X-Response-Stamp"), ran)
			if a.status == http.StatusOK {
				served++
			}
			if !isPromise(a.status) {
				break
			}
			if ran > 0 {
				broken++
			}
		}
		if runs > 1 {
			b.note("cot %d was reserved %d times", cot, runs)
		}
	}
	if served == 0 {
		return 0, cannotRun("no request was served")
	}
	return broken, nil
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// quietTime is how long nothing has passed on the channels that go silent.
const quietTime = 3 * time.Second

// runFeed lets channels to the store go silent while new ones work, then takes a
// key away, and sends requests with it.
func runFeed(b *bench) (int, error) {
	path, err := b.newProxy(b.network+".2", b.storeAddress)
	if err != nil {
		return 0, err
	}
	server, err := b.newBackend("i-1", b.network+".3", func(s *backendServer, c *channel, r *http.Request, _ []byte) bool {
		s.run(r)
		s.respond(c, r, http.StatusOK, "in stock\n")
		return true
	})
	if err != nil {
		return 0, err
	}
	r := route("r-1", "/puxa403/", "safe", "huvo11a", 1200, 2)
	if _, err := b.putManifest(7, []string{"key-stays", "key-goes"}, []string{"huvo11a"}, r); err != nil {
		return 0, err
	}
	if err := b.putServer("i-1", "huvo11a", server.address, 1700000000000, 6); err != nil {
		return 0, err
	}
	fronts, err := b.newFronts(2, path.address)
	if err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second)
	silencedAt := time.Now()
	if b.trouble {
		silenced, open := path.silence(quietTime)
		b.note("%d of %d channels to the store go silent; new ones work", silenced, open)
	}
	time.Sleep(touch + 500*time.Millisecond)
	ackedAt, err := b.putManifest(11, []string{"key-stays"}, []string{"huvo11a"}, r)
	if err != nil {
		return 0, err
	}
	from := ackedAt.Add(configBound)
	if inTouch := silencedAt.Add(touch); inTouch.After(from) {
		from = inTouch
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	broken, n := 0, 0
	for end := ackedAt.Add(25 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		n++
		for _, f := range fronts {
			id := fmt.Sprintf("%s-%d", f.name, n)
			wg.Go(func() {
				a := ask(f, query{method: http.MethodGet, path: "/puxa403/2f", key: "key-goes", id: id, deadline: 2500 * time.Millisecond})
				late := a.sentAt.After(from)
				b.note("%s with key-goes, sent %.2f s after the ack: %d %s", id, a.sentAt.Sub(ackedAt).Seconds(), a.status, a.complete())
				mu.Lock()
				defer mu.Unlock()
				if late && a.status == http.StatusOK {
					broken++
				}
			})
		}
	}
	wg.Wait()
	return broken, nil
}

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// refusal is the answer of a server that is full, as "fleetbench wire" prints it.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	// lateSlots is how many requests a server runs at once, and lateQueue how many
	// more it takes.
	lateSlots, lateQueue = 2, 1
	// lateEvery is the number of refusals of which one is sent twice. maxLateShare
	// limits the answers that are sent twice to a share of all answers of a server.
	lateEvery    = 6
	maxLateShare = 0.03
	// workTime is the mean time of a run. Requests come in clumps.
	workTime      = 30 * time.Millisecond
	clumpSize     = 18
	clumpInterval = 150 * time.Millisecond
)

// reserveServer is a server of the order application.
type reserveServer struct {
	*backendServer
	// isFaulty is set if it sends some answers twice.
	isFaulty bool
	slots    chan struct{}

	mu   sync.Mutex
	held int
	// answers counts all answers, refusals and twice those that are refused or sent
	// twice.
	answers, refusals, twice int
}

// enter takes a place. It returns false if the server is full, and whether the
// refusal is to be sent twice.
func (s *reserveServer) enter() (isTaken, isTwice bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	if s.held < lateSlots+lateQueue {
		s.held++
		return true, false
	}
	s.refusals++
	isTwice = s.isFaulty && s.refusals%lateEvery == 0 && float64(s.twice+1) <= maxLateShare*float64(s.answers)
	if isTwice {
		s.twice++
	}
	return false, isTwice
}

func (s *reserveServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held--
}

func (s *reserveServer) answer(c *channel, r *http.Request) bool {
	// The data of a channel is set if a second answer to the last request is due.
	if isDue, _ := c.data.(bool); isDue {
		c.data = false
		s.bench.note("%s sends the refusal again, where the next answer is expected", s.id)
		_, _ = io.WriteString(c, refusal)
	}
	isTaken, isTwice := s.enter()
	if !isTaken {
		s.bench.note("%s is full and doesn't run %s", s.id, r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(c, refusal)
		c.data = isTwice
		return true
	}
	defer s.leave()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.run(r)
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(workTime)))
	s.respond(c, r, http.StatusOK, "reserved\n")
	return true
}

// runLate lets three of five servers send some refusals twice, at most 3 in
// 100 of their answers, the second one late: where the next answer is expected.
func runLate(b *bench) (int, error) {
	if _, err := b.putManifest(7, []string{"key-1"}, []string{"wuno96b"}, route("r-1", "/puxa403/", "unsafe", "wuno96b", 1200, 1)); err != nil {
		return 0, err
	}
	var servers []*reserveServer
	for i := range 5 {
		s := &reserveServer{isFaulty: b.trouble && i < 3, slots: make(chan struct{}, lateSlots)}
		var err error
		s.backendServer, err = b.newBackend(fmt.Sprintf("i-%d", i), b.network+".3", func(_ *backendServer, c *channel, r *http.Request, _ []byte) bool {
			return s.answer(c, r)
		})
		if err != nil {
			return 0, err
		}
		if err := b.putServer(s.id, "wuno96b", s.address, 1700000000000+int64(i), lateSlots); err != nil {
			return 0, err
		}
		servers = append(servers, s)
	}
	fronts, err := b.newFronts(4, b.storeAddress)
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := map[string]int{}
	rng := rand.New(rand.NewPCG(1, 2))
	for n := 0; time.Since(b.started) < 40*time.Second; n++ {
		f := fronts[rng.IntN(len(fronts))]
		wg.Go(func() {
			id := fmt.Sprintf("9c41d07b%08x", n)
			a := ask(f, query{method: http.MethodPost, path: "/puxa403/2f", key: "key-1", id: id, deadline: 2500 * time.Millisecond, body: []byte("cot 17")})
			b.note("%s, unsafe: %d %s", id, a.status, a.complete())
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a.status
		})
		if n%clumpSize == 0 {
			time.Sleep(clumpInterval)
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	for _, s := range servers {
		b.note("%s has given %d answers, %d of them refusals, %d of them twice", s.id, s.answers, s.refusals, s.twice)
	}
	broken := 0
	for id, status := range answers {
		ran := 0
		for _, s := range servers {
			ran += s.ran(id)
		}
		if ran > 1 || ran > 0 && isPromise(status) {
			broken++
			b.note("%s, unsafe, was answered %d and has run %d times", id, status, ran)
		}
	}
	return broken, nil
}

// isPromise reports whether a status says that a request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

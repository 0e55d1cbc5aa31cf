package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// orderTime is how long an order runs, and clientCount the number of clients,
	// each of which keeps a channel and sends one order after the other.
	orderTime   = 5 * time.Second
	clientCount = 240
	// minPause and maxPause bound the pause of a client between two orders.
	minPause, maxPause = 500 * time.Millisecond, 10 * time.Second
	// lastExcused is how long after a SIGTERM a request may be sent whose server is
	// still at work in the last sixth of the grace time without counting.
	lastExcused = 3 * time.Second
	gracePeriod = 8 * time.Second
)

// balancer forwards new channels to fronts as the platform does: it asks each front
// once a second whether it is ready, and leaves it out after two misses.
type balancer struct {
	fronts []*front
	misses []atomic.Int32
}

func newBalancer(fronts []*front) *balancer {
	l := &balancer{fronts: fronts, misses: make([]atomic.Int32, len(fronts))}
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for n, f := range fronts {
		go func() {
			for ; ; time.Sleep(time.Second) {
				response, err := client.Get("http://" + f.ready + "/-/ready")
				if err == nil {
					_ = response.Body.Close()
				}
				if err == nil && response.StatusCode == http.StatusOK {
					l.misses[n].Store(0)
				} else {
					l.misses[n].Add(1)
				}
			}
		}()
	}
	return l
}

// dial opens a channel to a front that is in rotation, and returns its number.
func (l *balancer) dial(client int) (net.Conn, int, error) {
	var inRotation []int
	for n := range l.fronts {
		if l.misses[n].Load() < 2 {
			inRotation = append(inRotation, n)
		}
	}
	if len(inRotation) == 0 {
		inRotation = []int{0, 1}
	}
	n := inRotation[client%len(inRotation)]
	conn, err := net.DialTimeout("tcp", l.fronts[n].address, time.Second)
	return conn, n, err
}

// stops holds when each front got its last SIGTERM.
type stops struct {
	mu sync.Mutex
	at map[int]time.Time
}

// lost reports whether the loss of a request counts that a front had passed on: the
// front was being stopped, and the request was sent later than the excuse allows.
func (s *stops) lost(front int, sentAt time.Time) (sinceStop time.Duration, counts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[front]
	if !ok {
		return 0, false
	}
	sinceStop = sentAt.Sub(at)
	return sinceStop, sinceStop > lastExcused && sinceStop < gracePeriod+time.Second
}

// runDrain stops and starts two fronts in turn while clients keep channels and send
// orders that run for some seconds.
func runDrain(b *bench) (int, error) {
	r := route("r-1", "/puxa403/", "unsafe", "wuno96b", 10000, 1)
	if _, err := b.putManifest(7, []string{"key-1"}, []string{"wuno96b"}, r); err != nil {
		return 0, err
	}
	var servers []*backendServer
	for i := range 3 {
		s, err := b.newBackend(fmt.Sprintf("i-%d", i), b.network+".3", func(s *backendServer, c *channel, r *http.Request, _ []byte) bool {
			s.run(r)
			time.Sleep(orderTime)
			s.respond(c, r, http.StatusOK, "ordered\n")
			return true
		})
		if err != nil {
			return 0, err
		}
		if err := b.putServer(s.id, "wuno96b", s.address, 1700000000000+int64(i), clientCount); err != nil {
			return 0, err
		}
		servers = append(servers, s)
	}
	fronts, err := b.newFronts(2, b.storeAddress)
	if err != nil {
		return 0, err
	}
	balance := newBalancer(fronts)
	stopped := &stops{at: map[int]time.Time{}}
	var broken, served atomic.Int64
	end := time.Now().Add(55 * time.Second)
	var wg sync.WaitGroup
	for i := range clientCount {
		wg.Go(func() {
			c := &drainClient{bench: b, number: i, balance: balance, stopped: stopped, servers: servers, rng: rand.New(rand.NewPCG(1, uint64(i)))}
			c.run(end)
			broken.Add(int64(c.broken))
			served.Add(int64(c.served))
		})
	}
	if b.trouble {
		for _, n := range []int{0, 1, 0} {
			time.Sleep(5 * time.Second)
			b.note("%s gets SIGTERM", fronts[n].name)
			stopped.mu.Lock()
			stopped.at[n] = time.Now()
			stopped.mu.Unlock()
			_ = fronts[n].process.Process.Signal(syscall.SIGTERM)
			if err := b.waitEnd(fronts[n]); err != nil {
				return 0, err
			}
			if err := b.startFront(fronts[n]); err != nil {
				return 0, err
			}
			if err := b.waitReady(fronts[n]); err != nil {
				return 0, err
			}
		}
	}
	wg.Wait()
	b.note("%d orders answered", served.Load())
	if served.Load() == 0 {
		return 0, cannotRun("no order was answered")
	}
	return int(broken.Load()), nil
}

// waitEnd waits for the end of a front that got SIGTERM, and kills it after the
// grace time, as the platform does.
func (b *bench) waitEnd(f *front) error {
	timer := time.AfterFunc(gracePeriod, func() {
		b.note("%s is killed after the grace time", f.name)
		_ = f.process.Process.Kill()
	})
	defer timer.Stop()
	err := f.process.Wait()
	b.note("%s has ended: %v", f.name, err)
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return err
	}
	return nil
}

// drainClient is a client with one kept channel.
type drainClient struct {
	bench   *bench
	number  int
	balance *balancer
	stopped *stops
	servers []*backendServer
	rng     *rand.Rand

	conn           net.Conn
	reader         *bufio.Reader
	front          int
	broken, served int
}

func (c *drainClient) run(end time.Time) {
	for n := 0; ; n++ {
		time.Sleep(minPause + time.Duration(c.rng.Float64()*float64(maxPause-minPause)))
		if time.Now().After(end) {
			break
		}
		c.order(fmt.Sprintf("9c41d07b%04x%04x", c.number, n))
	}
	c.drop()
}

func (c *drainClient) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// dropEnded drops a kept channel that the front has closed meanwhile.
func (c *drainClient) dropEnded() {
	if c.conn == nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.drop()
	}
}

// order sends one order over the kept channel, or a new one.
func (c *drainClient) order(id string) {
	c.dropEnded()
	isKept := c.conn != nil
	if !isKept {
		conn, n, err := c.balance.dial(c.number)
		if err != nil {
			c.bench.note("%s: no channel: %v", id, err)
			return
		}
		c.conn, c.reader, c.front = conn, bufio.NewReader(conn), n
	}
	sentAt := time.Now()
	_, err := fmt.Fprintf(c.conn, "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 9500\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n", id)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err == nil {
		c.bench.note("%s, unsafe: %d complete", id, response.StatusCode)
		if response.StatusCode == http.StatusOK {
			c.served++
		}
		if response.Close {
			c.drop()
		}
		return
	}
	c.drop()
	ran := 0
	for _, s := range c.servers {
		ran += s.ran(id)
	}
	sinceStop, counts := c.stopped.lost(c.front, sentAt)
	counts = counts && ran > 0
	c.bench.note("%s, unsafe, kept channel %v: no answer (%v); it has run %d times; sent %.3f s after the SIGTERM of front-%d, channel ended %.3f s after it; counts: %v",
		id, isKept, err, ran, sinceStop.Seconds(), c.front, (sinceStop + time.Since(sentAt)).Seconds(), counts)
	if counts {
		c.broken++
	}
}

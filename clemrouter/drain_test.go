package clemrouter

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clempool"
)

// drainPeriod is the time from the stop signal to the end of draining.
const drainPeriod = 7600 * time.Millisecond

// observationTime is for how long an entry observes a route until it relies on it.
const observationTime = 30 * time.Second

// slowBody is a request body that takes some time to arrive.
type slowBody struct {
	io.Reader
	delay time.Duration
}

func (b *slowBody) Read(to []byte) (int, error) {
	time.Sleep(b.delay)
	b.delay = 0
	return b.Reader.Read(to)
}

// serveMany sends requests to the router at once and waits for their ends.
func (f *fixture) serveMany(count int, path string, header http.Header) {
	var sent sync.WaitGroup
	for range count {
		sent.Go(func() { f.serve(path, header, strings.NewReader("body")) })
	}
	sent.Wait()
}

// Guards against at-most-once requests that a draining entry passes on though their
// servers take longer than the entry still runs: they have run, and their clients
// get no answer (LOST). What is known to end in time is served.
func TestDrainingEntryTakesOnlyWhatItCanFinish(t *testing.T) {
	const slow, fast = 5 * time.Second, 50 * time.Millisecond
	for name, c := range map[string]struct {
		path string
		// runTimes are how long requests took before the stop signal.
		runTimes []time.Duration
		runTime  time.Duration
		// sentAt is when the request is sent, after the stop signal.
		sentAt   time.Duration
		header   http.Header
		isServed bool
	}{
		"slow, at the end":             {path: "/unsafe/", runTimes: []time.Duration{slow}, runTime: slow, sentAt: 3100 * time.Millisecond},
		"slow, in the middle":          {path: "/unsafe/", runTimes: []time.Duration{slow}, runTime: slow, sentAt: 2650 * time.Millisecond},
		"slow, at once":                {path: "/unsafe/", runTimes: []time.Duration{slow}, runTime: slow, isServed: true},
		"fast, at the end":             {path: "/unsafe/", runTimes: []time.Duration{fast}, runTime: fast, sentAt: 3100 * time.Millisecond, isServed: true},
		"one in many is slow":          {path: "/unsafe/", runTimes: []time.Duration{fast, fast, slow, fast, fast, fast, fast, fast}, runTime: slow, sentAt: 3100 * time.Millisecond},
		"safe and slow":                {path: "/safe/", runTimes: []time.Duration{slow}, runTime: slow, sentAt: 3100 * time.Millisecond},
		"nothing known":                {path: "/unsafe/", runTime: slow, sentAt: 3100 * time.Millisecond},
		"nothing known, impatient":     {path: "/unsafe/", runTime: fast, sentAt: 3100 * time.Millisecond, header: http.Header{"Patience": {"4s"}}, isServed: true},
		"other routes are slow":        {path: "/safe/", runTimes: []time.Duration{fast}, runTime: fast, sentAt: 3100 * time.Millisecond, isServed: true},
		"slow and large generations":   {path: "/unsafe/", runTimes: []time.Duration{slow}, runTime: slow, sentAt: 3100 * time.Millisecond, header: http.Header{"Tokens": {"1000"}}},
		"small one among large ones":   {path: "/unsafe/", runTimes: []time.Duration{slow}, runTime: fast, sentAt: 3100 * time.Millisecond, header: http.Header{"Tokens": {"1"}}, isServed: true},
		"large one at the last second": {path: "/unsafe/", runTimes: []time.Duration{fast}, runTime: slow, sentAt: 3100 * time.Millisecond, header: http.Header{"Tokens": {"100000"}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const sample = 24
				f := newBareFixture(t, repeat(okResponse, 10*sample)...)
				defer f.closeServers()
				header := http.Header{}
				if c.header["Tokens"] != nil {
					header["Tokens"] = []string{"1000"}
				}
				for _, runTime := range c.runTimes {
					f.setRunTime(runTime)
					f.serveMany(sample/len(c.runTimes), c.path, header)
				}
				f.setRunTime(c.runTime)
				time.Sleep(observationTime)
				f.router.Drain(time.Now().Add(drainPeriod))
				time.Sleep(c.sentAt)
				before := f.arrivals()
				recorder := f.serve(c.path, c.header, strings.NewReader("body"))
				if c.isServed {
					require.Equal(t, http.StatusOK, recorder.Code)
					return
				}
				require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
				require.NotEmpty(t, recorder.Header().Get("Retry-After"))
				require.Equal(t, before, f.arrivals(), "refused as not run")
			})
		})
	}
}

// Guards against the same loss at an entry that is stopped soon after its start: the
// requests that ended so far are the short ones.
func TestDrainingEntryCountsRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBareFixture(t, repeat(okResponse, 100)...)
		defer f.closeServers()
		var slow sync.WaitGroup
		defer slow.Wait()
		f.setRunTime(5 * time.Second)
		slow.Go(func() { f.serveMany(4, "/unsafe/", nil) })
		time.Sleep(time.Second)
		f.setRunTime(50 * time.Millisecond)
		for range 24 {
			f.serveMany(1, "/unsafe/", nil)
		}
		f.router.Drain(time.Now().Add(drainPeriod))
		time.Sleep(2500 * time.Millisecond)
		before := f.arrivals()
		require.Equal(t, http.StatusServiceUnavailable, f.serve("/unsafe/", nil, strings.NewReader("body")).Code)
		require.Equal(t, before, f.arrivals())
	})
}

// Guards against the same loss at an entry that is stopped in its first seconds, when
// only small generations have ended (hunt-9171-3 of khat-router-large): that a large one
// takes no longer for its size is not known yet.
func TestDrainingEntryThatJustStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBareFixture(t, repeat(chunked(testEvent(1)), 100)...)
		defer f.closeServers()
		f.setRunTime(300 * time.Millisecond)
		f.serveMany(24, "/stream/", http.Header{"Tokens": {"50"}})
		f.setRunTime(5 * time.Second)
		f.router.Drain(time.Now().Add(drainPeriod))
		time.Sleep(3100 * time.Millisecond)
		before := f.arrivals()
		require.Equal(t, http.StatusServiceUnavailable, f.serve("/stream/", http.Header{"Tokens": {"900"}}, strings.NewReader("body")).Code)
		require.Equal(t, before, f.arrivals())
	})
}

// Guards against the same loss at an entry that got token counts beyond those of any model:
// their products overflow, and the run times of all requests on the route are wrong.
func TestDrainingEntryAfterAbsurdCounts(t *testing.T) {
	const sample = 24
	for name, absurd := range map[string]http.Header{
		"estimate of 0":     {"Tokens": {"111449078778661824"}, "Prompt": {"52"}},
		"negative estimate": {"Tokens": {"288230376151711680"}},
		"large output":      {"Tokens": {strconv.Itoa(math.MaxInt)}},
		"large prompt":      {"Tokens": {"1"}, "Prompt": {strconv.Itoa(math.MaxInt)}},
		"negative counts":   {"Tokens": {strconv.Itoa(math.MinInt)}, "Prompt": {strconv.Itoa(math.MinInt)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newBareFixture(t, repeat(okResponse, 2*sample)...)
				defer f.closeServers()
				usual := http.Header{"Tokens": {"1000"}}
				f.setRunTime(5 * time.Second)
				f.serveMany(sample, "/unsafe/", usual)
				f.serveMany(1, "/unsafe/", absurd)
				time.Sleep(observationTime)
				f.router.Drain(time.Now().Add(drainPeriod))
				time.Sleep(3100 * time.Millisecond)
				before := f.arrivals()
				for _, header := range []http.Header{usual, absurd} {
					require.Equal(t, http.StatusServiceUnavailable, f.serve("/unsafe/", header, strings.NewReader("body")).Code)
				}
				require.Equal(t, before, f.arrivals(), "refused as not run")
			})
		})
	}
}

// Guards against the same loss on the paths to a server after the arrival of a
// request: its body may take longer than the estimate, and a first server may refuse
// it late.
func TestDrainingEntryChecksBeforeEachSending(t *testing.T) {
	t.Run("slow body", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newBareFixture(t, repeat(okResponse, 100)...)
			defer f.closeServers()
			f.setRunTime(time.Second)
			f.serveMany(24, "/unsafe/", nil)
			time.Sleep(observationTime)
			time.AfterFunc(time.Millisecond, func() { f.router.Drain(time.Now().Add(drainPeriod)) })
			before := f.arrivals()
			recorder := f.serve("/unsafe/", nil, &slowBody{Reader: strings.NewReader("body"), delay: 7 * time.Second})
			require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
			require.Equal(t, before, f.arrivals())
		})
	})
	t.Run("late refusal", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newBareFixture(t, append(repeat(okResponse, 24), fullResponse, okResponse)...)
			defer f.closeServers()
			f.setRunTime(time.Second)
			f.serveMany(24, "/unsafe/", nil)
			f.setRunTime(7 * time.Second)
			time.Sleep(observationTime)
			f.router.Drain(time.Now().Add(drainPeriod))
			before := f.arrivals()
			recorder := f.serve("/unsafe/", nil, strings.NewReader("body"))
			require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
			require.NotEmpty(t, recorder.Header().Get("Retry-After"))
			require.Equal(t, before+1, f.arrivals(), "not sent to a second server")
		})
	})
}

// Guards against connections that clients use again although the entry has begun to drain
// since their request came.
func TestDrainingEntryAsksToCloseConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBareFixture(t, okResponse, okResponse)
		defer f.closeServers()
		require.Empty(t, f.serve("/unsafe/", nil, strings.NewReader("body")).Header().Get("Connection"))
		f.setRunTime(time.Second)
		time.AfterFunc(time.Millisecond, func() { f.router.Drain(time.Now().Add(drainPeriod)) })
		recorder := f.serve("/unsafe/", nil, strings.NewReader("body"))
		require.Equal(t, http.StatusOK, recorder.Code)
		require.Equal(t, "close", recorder.Header().Get("Connection"))
	})
}

// Guards against callers that are told to come back at once while every entry drains,
// and use up their attempts.
func TestDrainingEntryTellsWhenAnotherServes(t *testing.T) {
	for retryAfter, noPeerServes := range map[string]bool{"0.020": false, "1.000": true} {
		synctest.Test(t, func(t *testing.T) {
			f := newBareFixture(t)
			f.router.config.NoPeerServes = func() bool { return noPeerServes }
			f.router.Drain(time.Now().Add(drainPeriod))
			recorder := f.serve("/unsafe/", nil, strings.NewReader("body"))
			require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
			require.Equal(t, retryAfter, recorder.Header().Get("Retry-After"))
		})
	}
}

// Guards against requests that are sent to a further server, are said not to have run,
// or look complete, after the entry has ended them at its stop.
func TestRequestsThatTheStopEnds(t *testing.T) {
	const endAfter = 10 * time.Millisecond
	for name, c := range map[string]struct {
		path, response string
		runTime        time.Duration
		status         int
	}{
		"at most once":            {"/unsafe/", okResponse, time.Minute, http.StatusBadGateway},
		"idempotent":              {"/safe/", okResponse, time.Minute, http.StatusBadGateway},
		"stream before its start": {"/resumable/", chunked(testEvent(1)), time.Minute, http.StatusBadGateway},
		"stream, aborted":         {"/resumable/", chunked(testEvent(1), testEvent(2)), 0, 0},
		"ended in the meantime":   {"/unsafe/", okResponse, endAfter / 2, http.StatusOK},
		"refused in the meantime": {"/unsafe/", fullResponse, endAfter + time.Millisecond, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newBareFixture(t, c.response, okResponse)
				defer f.closeServers()
				f.setRunTime(c.runTime)
				ctx, end := context.WithCancelCause(t.Context())
				defer end(nil)
				time.AfterFunc(endAfter, func() { end(clementineturn.Errorf(clementineturn.KindDraining, "the entry stops")) })
				recorder := f.serveUntil(ctx, c.path, nil, strings.NewReader("body"))
				require.Equal(t, c.status, recorder.Code)
				require.Equal(t, 1, f.arrivals())
				require.Empty(t, recorder.Header().Get("Retry-After"))
				time.Sleep(2 * time.Minute)
			})
		})
	}
	t.Run("not sent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newBareFixture(t, okResponse)
			defer f.closeServers()
			f.router.config.Directory = clempool.New(clempool.Config{
				MaxLoadFactor: func() float64 { return 2 }, Rand: func() uint64 { return 0 },
				Dial: func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() },
			})
			f.router.config.Directory.Put(clempool.NewRecord(clempool.RecordConfig{ID: "s1", Service: "pool", Address: "s1", Slots: 8}))
			ctx, end := context.WithCancelCause(t.Context())
			defer end(nil)
			time.AfterFunc(endAfter, func() { end(clementineturn.Errorf(clementineturn.KindDraining, "the entry stops")) })
			recorder := f.serveUntil(ctx, "/unsafe/", nil, strings.NewReader("body"))
			require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
			require.NotEmpty(t, recorder.Header().Get("Retry-After"))
		})
	})
}

func repeat(response string, count int) []string {
	responses := make([]string, count)
	for i := range responses {
		responses[i] = response
	}
	return responses
}

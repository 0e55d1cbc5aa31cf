package clemrouter

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clempool"
)

// serveWaiting passes a request to a router whose servers are full, and returns once it
// waits.
func serveWaiting(ctx context.Context, t *testing.T, f *fixture) <-chan *httptest.ResponseRecorder {
	t.Helper()
	occupySlots(t, f, 72)
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() { answered <- f.serveUntil(ctx, "/unsafe/", nil, nil) }()
	synctest.Wait()
	require.Equal(t, 1, f.router.config.Directory.Waiting())
	return answered
}

// Guards against an entry that drains while requests wait there: they are refused at once,
// and truthfully as not run, so that their clients go to another entry.
func TestDrainRefusesWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBareFixture(t)
		answered := serveWaiting(t.Context(), t, f)
		began := time.Now()
		f.router.Drain(began.Add(time.Hour))
		response := <-answered
		require.Zero(t, time.Since(began))
		require.Equal(t, http.StatusServiceUnavailable, response.Code)
		require.NotEmpty(t, response.Header().Get("Retry-After"))
		require.Zero(t, f.arrivals())
		f.closeServers()
	})
}

// Guards against requests that wait on for a client that has left.
func TestWaitEndsWhenTheClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBareFixture(t)
		ctx, leave := context.WithCancel(t.Context())
		answered := serveWaiting(ctx, t, f)
		leave()
		require.Zero(t, (<-answered).Code, "aborted")
		require.Zero(t, f.router.config.Directory.Waiting())
		require.Zero(t, f.arrivals())
		f.closeServers()
	})
}

// Guards against a refused request that was held for over an eighth of its latency target,
// and against one that was sent although it is refused as not run.
func TestWaitIsShortIfTheRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBareFixture(t)
		began := time.Now()
		response := <-serveWaiting(t.Context(), t, f)
		require.Equal(t, http.StatusTooManyRequests, response.Code)
		require.LessOrEqual(t, time.Since(began), 10*time.Second/8)
		require.NotEmpty(t, response.Header().Get("Retry-After"))
		require.Zero(t, f.arrivals())
		f.closeServers()
	})
}

// Guards against a request that waits although a place has become free.
func TestWaitEndsWithAFreePlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBareFixture(t, okResponse)
		// With 2.7 requests a slot the limit is 64.
		occupySlots(t, f, 63)
		lease, err := f.router.config.Directory.Acquire(clempool.Request{Service: "pool"}, time.Now())
		require.NoError(t, err)
		answered := make(chan *httptest.ResponseRecorder, 1)
		go func() { answered <- f.serve("/unsafe/", nil, nil) }()
		synctest.Wait()
		require.Equal(t, 1, f.router.config.Directory.Waiting())
		began := time.Now()
		lease.Release(clempool.OutcomeServed, nil, began)
		require.Equal(t, http.StatusOK, (<-answered).Code)
		require.Zero(t, time.Since(began))
		f.closeServers()
	})
}

// withDirectory gives the fixture's router a directory with one server.
func withDirectory(f *fixture, c clempool.Config) *clempool.Directory {
	c.MaxLoadFactor, c.Rand = func() float64 { return 2 }, func() uint64 { return 0 }
	directory := clempool.New(c)
	directory.Put(clempool.NewRecord(clempool.RecordConfig{ID: "s1", Service: "pool", Address: "s1", Slots: 8}))
	f.router.config.Directory = directory
	return directory
}

// Guards against a request that begins to wait just after the entry has refused those that
// waited, and is held.
func TestRequestDoesNotBeginToWaitOnceTheEntryDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBareFixture(t)
		onLookUp := func() {}
		directory := withDirectory(f, clempool.Config{
			ColdFigures: func(string) clempool.ColdFigures { return clempool.ColdFigures{} },
			Entries:     func() ([]string, bool) { onLookUp(); return nil, true },
		})
		occupySlots(t, f, 24)
		time.Sleep(time.Second)
		began := time.Now()
		onLookUp = func() { f.router.Drain(began.Add(time.Hour)) }
		response := f.serve("/unsafe/", nil, nil)
		require.True(t, f.router.IsDraining())
		require.Zero(t, time.Since(began))
		require.Equal(t, http.StatusServiceUnavailable, response.Code)
		require.Zero(t, directory.Waiting())
		directory.Remove("s1")
	})
}

// Guards against a server that is ejected, and held to be cold, because a client left while
// a connection to it was opened.
func TestClientThatLeavesDuringADialSaysNothingOfTheServer(t *testing.T) {
	f := newBareFixture(t)
	ctx, leave := context.WithCancel(t.Context())
	directory := withDirectory(f, clempool.Config{
		ColdFigures: func(string) clempool.ColdFigures {
			return clempool.ColdFigures{Limit: 20, StartTime: time.Minute}
		},
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			leave()
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	require.Zero(t, f.serveUntil(ctx, "/safe/", nil, nil).Code, "aborted")
	availability, _ := directory.Availability("s1", time.Now())
	require.Equal(t, clempool.StateOpen, availability.State())
}

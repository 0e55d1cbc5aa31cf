package clemfence

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestNextIsUnique calls NextIncarnation concurrently on a table that loses
// answers or applies writes late. No number may be returned twice.
func TestNextIsUnique(t *testing.T) {
	for name, faults := range map[string]clemstandin.TableFaults{
		"no fault":     {Delay: time.Millisecond},
		"lost answers": {Delay: time.Millisecond, LostAnswers: 8},
		"late writes":  {Delay: time.Millisecond, LateWrites: 8, LateWriteDelay: 80 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := clemstandin.NewTable()
				table.Inject(faults)
				var mu sync.Mutex
				var acquired []uint64
				var callers sync.WaitGroup
				for range 6 {
					callers.Go(func() {
						n, err := NextIncarnation(t.Context(), table, "a")
						mu.Lock()
						defer mu.Unlock()
						if err == nil {
							acquired = append(acquired, n)
						}
					})
				}
				callers.Wait()
				require.Len(t, acquired, 6)
				slices.Sort(acquired)
				require.Len(t, slices.Compact(acquired), 6)
				time.Sleep(time.Minute)
				current, err := CurrentIncarnation(t.Context(), table, "a")
				require.NoError(t, err)
				require.GreaterOrEqual(t, current, acquired[len(acquired)-1])
				other, err := NextIncarnation(t.Context(), table, "b")
				require.NoError(t, err)
				require.EqualValues(t, 1, other)
			})
		})
	}
}

func TestNextStopsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := clemstandin.NewTable()
		table.Inject(clemstandin.TableFaults{LateWrites: 1 << 20, LateWriteDelay: time.Hour})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := NextIncarnation(ctx, table, "a")
		require.True(t, clementineturn.IsKind(err, clementineturn.KindUnavailable), "%v", err)
		time.Sleep(2 * time.Hour)
	})
}

// fakeEngine is a backend server that records orders.
type fakeEngine struct {
	clementineturn.Backend
	mu sync.Mutex
	// checksFence makes the engine refuse old fencing tokens.
	checksFence bool
	highest     uint64
	down        bool
	loaded      []string
	times       []time.Time
}

// Order implements clementineturn.Backend.
func (e *fakeEngine) Order(_ context.Context, pool *clemwire.Pool, fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return clementineturn.Errorf(clementineturn.KindUnavailable, "engine is down")
	}
	if e.checksFence && fence < e.highest {
		return clementineturn.Errorf(clementineturn.KindConflict, "fencing number %d is old", fence)
	}
	e.highest = max(e.highest, fence)
	e.loaded = append(e.loaded, pool.GetVersion())
	e.times = append(e.times, time.Now())
	return nil
}

func (e *fakeEngine) setDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

func (e *fakeEngine) lastVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.loaded) == 0 {
		return ""
	}
	return e.loaded[len(e.loaded)-1]
}

// fixture has what a reconciler needs: a table, an engine and a board.
type fixture struct {
	t          *testing.T
	table      *clemstandin.Table
	engine     *fakeEngine
	board      *clemboard.Board
	fencing    bool
	generation uint64
}

func withFixture(t *testing.T, fencing bool, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, table: clemstandin.NewTable(), engine: &fakeEngine{checksFence: fencing}, board: clemboard.New(), fencing: fencing}
		test(t, f)
	})
}

func (f *fixture) setVersion(version string) {
	f.generation++
	f.board.Config().Set(clemconfig.FromSnapshot(&clemwire.Snapshot{Generation: f.generation, Entities: []*clemwire.Entity{
		{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{Name: "chat", Model: "m", Version: version, Slots: uint32(f.generation)}}},
		{Kind: &clemwire.Entity_Engine{Engine: &clemwire.Engine{Name: "a", Fencing: f.fencing}}},
	}}))
}

// start starts a reconciler with the next incarnation. It returns the channel of
// its result and a function that stops it.
func (f *fixture) start(ctx context.Context) (<-chan error, func()) {
	n, err := NextIncarnation(ctx, f.table, "a")
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(ctx)
	done := New(Config{Board: f.board, Backend: f.engine, Table: f.table, Server: "a", Pool: "chat", Incarnation: n}).Start(ctx)
	return done, cancel
}

func TestReconcilerFollowsThePool(t *testing.T) {
	withFixture(t, true, func(t *testing.T, f *fixture) {
		done, stop := f.start(t.Context())
		time.Sleep(time.Minute)
		require.Empty(t, f.engine.lastVersion())
		f.setVersion("1")
		synctest.Wait()
		require.Equal(t, []string{"1"}, f.engine.loaded)
		// A change elsewhere in the pool causes no order.
		f.setVersion("1")
		synctest.Wait()
		require.Equal(t, []string{"1"}, f.engine.loaded)
		f.engine.setDown(true)
		f.setVersion("2")
		time.Sleep(10 * time.Minute)
		f.engine.setDown(false)
		time.Sleep(2 * maxRetryDelay)
		require.Equal(t, "2", f.engine.lastVersion())
		stop()
		require.NoError(t, <-done)
	})
}

// TestReconcilerRepeatsOrder checks that orders are repeated, so that a
// restarted engine loads the version again, but that frequent configuration
// changes do not cause orders.
func TestReconcilerRepeatsOrder(t *testing.T) {
	withFixture(t, true, func(t *testing.T, f *fixture) {
		f.setVersion("1")
		done, stop := f.start(t.Context())
		// Changes elsewhere in the configuration are frequent.
		for range 3600 {
			time.Sleep(time.Second)
			f.setVersion("1")
		}
		stop()
		require.NoError(t, <-done)
		require.Greater(t, len(f.engine.loaded), 6)
		require.Less(t, len(f.engine.loaded), 30)
	})
}

// TestOlderReconcilerIsFenced checks that an older sidecar that resumes after a
// newer one took over cannot override its order, whether or not the engine
// checks fencing tokens.
func TestOlderReconcilerIsFenced(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		withFixture(t, fencing, func(t *testing.T, f *fixture) {
			f.setVersion("1")
			older, _ := f.start(t.Context())
			synctest.Wait()
			newer, stop := f.start(t.Context())
			f.setVersion("2")
			synctest.Wait()
			require.True(t, clementineturn.IsKind(<-older, clementineturn.KindConflict))
			require.Equal(t, "2", f.engine.lastVersion())
			stop()
			require.NoError(t, <-newer)
		})
	}
}

// TestReconcilerWithTableDown checks that an engine that does not check fencing
// tokens gets no order while the incarnation's row cannot be read in time. An
// engine that checks them does not depend on the row.
func TestReconcilerWithTableDown(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		withFixture(t, fencing, func(t *testing.T, f *fixture) {
			done, stop := f.start(t.Context())
			f.table.Inject(clemstandin.TableFaults{Down: true})
			f.setVersion("1")
			time.Sleep(time.Hour)
			require.Equal(t, fencing, f.engine.lastVersion() == "1")
			f.table.Inject(clemstandin.TableFaults{Delay: 2 * maxCheckAge})
			time.Sleep(time.Hour)
			require.Equal(t, fencing, f.engine.lastVersion() == "1")
			f.table.Inject(clemstandin.TableFaults{})
			time.Sleep(2 * maxRetryDelay)
			require.Equal(t, "1", f.engine.lastVersion())
			stop()
			require.NoError(t, <-done)
		})
	}
}

// TestReconcilersStaggerOrders checks that the sidecars of a pool stay within
// OrderRate without a coordinator, even if the order before the change failed.
func TestReconcilersStaggerOrders(t *testing.T) {
	for _, down := range []bool{false, true} {
		withFixture(t, true, func(t *testing.T, f *fixture) {
			const servers, rate = 20, 2.0
			var hosts []*clemwire.Host
			for i := range servers {
				hosts = append(hosts, &clemwire.Host{Name: string(rune('a' + i)), Pool: "chat", Role: "sidecar"})
			}
			f.board.Members().Set(clemboard.NewMembers(hosts))
			ctx, stop := context.WithCancel(t.Context())
			var results []<-chan error
			f.engine.setDown(down)
			f.setVersion("1")
			for _, host := range hosts {
				results = append(results, New(Config{
					Board: f.board, Backend: f.engine, Table: f.table, Server: host.GetName(), Pool: "chat", Incarnation: 1, OrderRate: rate,
				}).Start(ctx))
			}
			synctest.Wait()
			f.engine.setDown(false)
			f.engine.mu.Lock()
			f.engine.loaded, f.engine.times = nil, nil
			f.engine.mu.Unlock()
			f.setVersion("2")
			time.Sleep(servers / rate * time.Second)
			stop()
			for _, result := range results {
				require.NoError(t, <-result)
			}
			require.Len(t, f.engine.loaded, servers)
			for i := range servers - 1 {
				require.Equal(t, time.Second/rate, f.engine.times[i+1].Sub(f.engine.times[i]))
			}
		})
	}
}

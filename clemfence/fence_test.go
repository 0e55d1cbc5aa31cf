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

func TestNextIsTakenOnce(t *testing.T) {
	for name, faults := range map[string]clemstandin.TableFaults{
		"no fault":     {Delay: time.Millisecond},
		"lost answers": {Delay: time.Millisecond, LostAnswers: 8},
		"late writes":  {Delay: time.Millisecond, LateWrites: 8, Late: 80 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := clemstandin.NewTable()
				table.Inject(faults)
				var mu sync.Mutex
				var taken []uint64
				var takers sync.WaitGroup
				for range 6 {
					takers.Go(func() {
						n, err := Next(t.Context(), table, "a")
						mu.Lock()
						defer mu.Unlock()
						if err == nil {
							taken = append(taken, n)
						}
					})
				}
				takers.Wait()
				require.Len(t, taken, 6)
				slices.Sort(taken)
				require.Len(t, slices.Compact(taken), 6)
				time.Sleep(time.Minute)
				current, err := Current(t.Context(), table, "a")
				require.NoError(t, err)
				require.GreaterOrEqual(t, current, taken[len(taken)-1])
				other, err := Next(t.Context(), table, "b")
				require.NoError(t, err)
				require.EqualValues(t, 1, other)
			})
		})
	}
}

func TestNextEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := clemstandin.NewTable()
		table.Inject(clemstandin.TableFaults{LateWrites: 1 << 20, Late: time.Hour})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := Next(ctx, table, "a")
		require.True(t, clementineturn.IsKind(err, clementineturn.KindUnavailable), "%v", err)
		time.Sleep(2 * time.Hour)
	})
}

// engine is a backend server that takes orders.
type engine struct {
	clementineturn.Backend
	mu sync.Mutex
	// checks makes the engine refuse old fencing numbers.
	checks  bool
	highest uint64
	down    bool
	loaded  []string
	times   []time.Time
}

// Order implements clementineturn.Backend.
func (e *engine) Order(_ context.Context, pool *clemwire.Pool, fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return clementineturn.Errorf(clementineturn.KindUnavailable, "engine is down")
	}
	if e.checks && fence < e.highest {
		return clementineturn.Errorf(clementineturn.KindConflict, "fencing number %d is old", fence)
	}
	e.highest = max(e.highest, fence)
	e.loaded = append(e.loaded, pool.GetVersion())
	e.times = append(e.times, time.Now())
	return nil
}

func (e *engine) set(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

func (e *engine) last() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.loaded) == 0 {
		return ""
	}
	return e.loaded[len(e.loaded)-1]
}

// bench is a table, an engine and a board that asks for a version.
type bench struct {
	t       *testing.T
	table   *clemstandin.Table
	engine  *engine
	board   *clemboard.Board
	fencing bool
	gen     uint64
}

func inBench(t *testing.T, fencing bool, test func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{t: t, table: clemstandin.NewTable(), engine: &engine{checks: fencing}, board: clemboard.New(), fencing: fencing}
		test(t, b)
	})
}

func (b *bench) ask(version string) {
	b.gen++
	b.board.Config().Set(clemconfig.FromSnapshot(&clemwire.Snapshot{Generation: b.gen, Entities: []*clemwire.Entity{
		{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{Name: "chat", Model: "m", Version: version, Slots: uint32(b.gen)}}},
		{Kind: &clemwire.Entity_Engine{Engine: &clemwire.Engine{Name: "a", Fencing: b.fencing}}},
	}}))
}

// start starts a reconciler under the next incarnation and returns its end and how to stop it.
func (b *bench) start(ctx context.Context) (<-chan error, func()) {
	n, err := Next(ctx, b.table, "a")
	require.NoError(b.t, err)
	ctx, cancel := context.WithCancel(ctx)
	done := New(Config{Board: b.board, Backend: b.engine, Table: b.table, Server: "a", Pool: "chat", Incarnation: n}).Start(ctx)
	return done, cancel
}

func TestReconcilerFollowsThePool(t *testing.T) {
	inBench(t, true, func(t *testing.T, b *bench) {
		done, stop := b.start(t.Context())
		time.Sleep(time.Minute)
		require.Empty(t, b.engine.last())
		b.ask("1")
		synctest.Wait()
		require.Equal(t, []string{"1"}, b.engine.loaded)
		// A change that asks for nothing else gives no order.
		b.ask("1")
		synctest.Wait()
		require.Equal(t, []string{"1"}, b.engine.loaded)
		b.engine.set(true)
		b.ask("2")
		time.Sleep(10 * time.Minute)
		b.engine.set(false)
		time.Sleep(2 * retryMost)
		require.Equal(t, "2", b.engine.last())
		stop()
		require.NoError(t, <-done)
	})
}

// An engine that was restarted is made to load the version again.
func TestReconcilerRepeats(t *testing.T) {
	inBench(t, true, func(t *testing.T, b *bench) {
		b.ask("1")
		done, stop := b.start(t.Context())
		// Other changes of the configuration come all the time.
		for range 3600 {
			time.Sleep(time.Second)
			b.ask("1")
		}
		stop()
		require.NoError(t, <-done)
		require.Greater(t, len(b.engine.loaded), 6)
		require.Less(t, len(b.engine.loaded), 30)
	})
}

// An older sidecar wakes after a newer one took over. It gives no order,
// whether the engine checks the fencing number or not.
func TestOlderReconcilerIsFenced(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		inBench(t, fencing, func(t *testing.T, b *bench) {
			b.ask("1")
			older, _ := b.start(t.Context())
			synctest.Wait()
			newer, stop := b.start(t.Context())
			b.ask("2")
			synctest.Wait()
			require.True(t, clementineturn.IsKind(<-older, clementineturn.KindConflict))
			require.Equal(t, "2", b.engine.last())
			stop()
			require.NoError(t, <-newer)
		})
	}
}

// Without the incarnation's row there is no order to an engine that does not
// check fencing numbers; one that checks them needs no row.
func TestReconcilerWithTableDown(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		inBench(t, fencing, func(t *testing.T, b *bench) {
			done, stop := b.start(t.Context())
			b.table.Inject(clemstandin.TableFaults{Down: true})
			b.ask("1")
			time.Sleep(time.Hour)
			require.Equal(t, fencing, b.engine.last() == "1")
			b.table.Inject(clemstandin.TableFaults{Delay: 2 * checkAge})
			time.Sleep(time.Hour)
			require.Equal(t, fencing, b.engine.last() == "1")
			b.table.Inject(clemstandin.TableFaults{})
			time.Sleep(2 * retryMost)
			require.Equal(t, "1", b.engine.last())
			stop()
			require.NoError(t, <-done)
		})
	}
}

// The pool's sidecars share the weight store's limit without a coordinator,
// also if the order before the change failed.
func TestReconcilersSpreadOrders(t *testing.T) {
	for _, down := range []bool{false, true} {
		inBench(t, true, func(t *testing.T, b *bench) {
			const servers, rate = 20, 2.0
			var hosts []*clemwire.Host
			for i := range servers {
				hosts = append(hosts, &clemwire.Host{Name: string(rune('a' + i)), Pool: "chat", Role: "sidecar"})
			}
			b.board.Members().Set(clemboard.NewMembers(hosts))
			ctx, stop := context.WithCancel(t.Context())
			var ends []<-chan error
			b.engine.set(down)
			b.ask("1")
			for _, host := range hosts {
				ends = append(ends, New(Config{
					Board: b.board, Backend: b.engine, Table: b.table, Server: host.GetName(), Pool: "chat", Incarnation: 1, Rate: rate,
				}).Start(ctx))
			}
			synctest.Wait()
			b.engine.set(false)
			b.engine.mu.Lock()
			b.engine.loaded, b.engine.times = nil, nil
			b.engine.mu.Unlock()
			b.ask("2")
			time.Sleep(servers / rate * time.Second)
			stop()
			for _, end := range ends {
				require.NoError(t, <-end)
			}
			require.Len(t, b.engine.loaded, servers)
			for i := range servers - 1 {
				require.Equal(t, time.Second/rate, b.engine.times[i+1].Sub(b.engine.times[i]))
			}
		})
	}
}

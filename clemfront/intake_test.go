package clemfront

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemsite"
	"github.com/clementineturn/clementineturn/clemstandin"
)

// Guards against limits of a deployment that states none, and against ones that leave no
// descriptors for files and backend servers.
func TestLimitsFollowTheSettings(t *testing.T) {
	for _, c := range []struct {
		memoryMB            int64
		descriptors         int
		connections, budget int
	}{
		{0, 0, 0, 0}, {0, 4100, 1950, 0}, {0, 100, minConns, 0}, {184, 0, 1472, 69 << 20}, {184, 4100, 1472, 69 << 20}, {536, 4100, 1950, 201 << 20}, {1, 0, minConns, 8 << 20},
	} {
		settings := clemsite.NewSettings(clemsite.SettingsConfig{MemoryLimit: c.memoryMB << 20, MaxDescriptors: c.descriptors})
		require.Equal(t, c.connections, maxConnsOf(settings), c)
		require.Equal(t, int64(c.budget), clemquota.BudgetFor(settings.MemoryLimit()), c)
	}
}

// Guards against limits of a configuration that do not apply, or only after a restart.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	f := &front{table: &clemroute.Table{}}
	require.Equal(t, clemquota.Limits{MaxHeadBytes: 64 << 10, HeadTimeout: 15 * time.Second, FirstTimeout: 90 * time.Second, IdleTimeout: 90 * time.Second}, f.clientLimits())
	apply := func(version uint64, limits clemroute.LimitsConfig) {
		configuration, err := clemroute.New(clemroute.Config{Version: version, Limits: limits})
		require.NoError(t, err)
		f.table.Apply(configuration)
	}
	apply(1, clemroute.LimitsConfig{})
	require.Equal(t, clemquota.Limits{MaxHeadBytes: 1 << 20, HeadTimeout: 15 * time.Second, FirstTimeout: 90 * time.Second, IdleTimeout: 90 * time.Second}, f.clientLimits())
	apply(2, clemroute.LimitsConfig{MaxHeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 2 * time.Second})
	require.Equal(t, clemquota.Limits{MaxHeadBytes: 16384, HeadTimeout: 4 * time.Second, FirstTimeout: 4 * time.Second, IdleTimeout: 2 * time.Second}, f.clientLimits())
}

// Guards against clients that hold the few connections for readiness checks, calls and
// metrics with bodies that do not arrive.
func TestInnerListenersEndUnreadBodies(t *testing.T) {
	for _, name := range []string{listenerReady, listenerControl, listenerMetrics} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := clemstandin.NewNetwork()
				f := &front{budget: clemquota.NewBudget(0), probeBudget: clemquota.NewBudget(probeBudget), settings: &activeSettings{}}
				f.settings.Store(clemsite.NewSettings(clemsite.SettingsConfig{}))
				server := &http.Server{Handler: http.NotFoundHandler()}
				listener := f.limitListener(name, network.Listen("front:81"), server)
				ended := make(chan error, 1)
				go func() { ended <- server.Serve(listener) }()
				defer func() {
					require.NoError(t, server.Close())
					<-ended
				}()
				conn, err := network.Dial(t.Context(), "tcp", "front:81")
				require.NoError(t, err)
				defer conn.Close()
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
				_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n")
				require.NoError(t, err)
				answer, err := io.ReadAll(conn)
				require.NoError(t, err, "the connection is closed")
				require.Contains(t, string(answer), "404 Not Found")
			})
		})
	}
}

// Guards against clients that make an entry look unready: with their memory the readiness
// check was refused as over memory, and the load balancer takes an entry out after two.
func TestReadinessHasMemoryOfItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := clemstandin.NewNetwork()
		f := &front{
			budget: clemquota.NewBudget(8 << 20), probeBudget: clemquota.NewBudget(probeBudget), settings: &activeSettings{},
			metrics: clemmetric.New(), events: clemevent.New(zap.NewNop()),
		}
		f.settings.Store(clemsite.NewSettings(clemsite.SettingsConfig{}))
		evicted := f.budget.NewHold(func() {})
		require.NoError(t, evicted.Charge(4<<20))
		forwarded := f.budget.NewHold(nil)
		require.NoError(t, forwarded.Charge(1<<10))
		require.NoError(t, forwarded.Pin())
		forwarded.Force(32 << 20)
		require.True(t, evicted.IsEvicted())
		// The part for ordinary requests is full but for a kilobyte.
		for range 34 {
			require.NoError(t, f.budget.NewHold(nil).Charge(60<<10))
		}
		require.NoError(t, f.budget.NewHold(nil).Charge(6000))
		server := &http.Server{Handler: http.NotFoundHandler()}
		listener := f.limitListener(listenerReady, network.Listen("front:81"), server)
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(listener) }()
		defer func() {
			require.NoError(t, server.Close())
			<-ended
		}()
		conn, err := network.Dial(t.Context(), "tcp", "front:81")
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nX-Padding: "+strings.Repeat("x", 4000)+"\r\nConnection: close\r\n\r\n")
		require.NoError(t, err)
		answer, err := io.ReadAll(conn)
		require.NoError(t, err)
		require.Contains(t, string(answer), "404 Not Found")
	})
}

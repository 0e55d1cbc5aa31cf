package clemrouter

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clempool"
)

// countStates returns the number of servers in a state.
func (f *fixture) countStates(state clempool.State) int {
	return f.router.config.Directory.CountStates(time.Now())[state]
}

// Guards against a leaving server that is known only from the end of its stream, long
// after it has announced it.
func TestLeavingIsLearnedFromTheHeadOfAStream(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nSigned: s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n\r\n"
	f := newFixture(t, head+testEvent(1)+pause+pause+testEvent(2)+"!")
	request, err := http.NewRequest(http.MethodPost, f.front.URL+"/stream/", nil)
	require.NoError(t, err)
	request.Header = http.Header{"Id": {"r1"}, "Key": {"k"}}
	response, err := f.front.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, len(testEvent(1))))
	require.NoError(t, err)
	require.Equal(t, 1, f.countStates(clempool.StateLeaving))
	rest, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, testEvent(2), string(rest), "running requests complete")
}

// Guards against a server that is taken for leaving or resting by what is no response of
// its own.
func TestForeignBytesDoNotMarkAServer(t *testing.T) {
	leaving := "Leaving: 1\r\nRest: 10s\r\n"
	for name, response := range map[string]string{
		"another instance":         "HTTP/1.1 421 Wrong\r\n" + leaving + "Content-Length: 0\r\n\r\n",
		"no response":              "HTTQ/7 what\r\n" + leaving + "\r\n!",
		"of another request":       "HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\n" + leaving + "Content-Length: 0\r\n\r\n" + okResponse,
		"surplus of a response":    okResponse + "HTTP/1.1 200 OK\r\nId: " + ownID + "\r\nSigned: s\r\n" + leaving + "Content-Length: 0\r\n\r\n!",
		"interim response":         "HTTP/1.1 103 Early\r\n" + leaving + "\r\n" + okResponse,
		"announcement of nothing ": "HTTP/1.1 200 OK\r\nId: " + ownID + "\r\nSigned: s\r\nLeaving: 0\r\nContent-Length: 4\r\n\r\ngood",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, response, okResponse, okResponse)
			for range 2 {
				_, _, _, _ = f.post("/safe/", nil)
			}
			require.Zero(t, f.countStates(clempool.StateLeaving)+f.countStates(clempool.StateResting))
		})
	}
}

// Guards against a resting server that is ejected, or taken for the cause of a failure,
// and against a client that is told to come back before any server takes requests.
func TestRestingServersAreNotAtFault(t *testing.T) {
	for name, head := range map[string]string{"not run": "Unrun: 1", "may have run": "Signed: s"} {
		t.Run(name, func(t *testing.T) {
			resting := "HTTP/1.1 503 Resting\r\nId: " + ownID + "\r\nRest: 20s\r\n" + head + "\r\nContent-Length: 0\r\n\r\n"
			f := newFixture(t, resting, resting, resting, resting)
			for range 3 {
				_, _, _, _ = f.post("/unsafe/", nil)
			}
			require.Equal(t, 3, f.countStates(clempool.StateResting))
			require.Equal(t, 3, f.arrivals())
			status, header, body, err := f.post("/unsafe/", nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.Contains(t, body, "resting until")
			require.NotEmpty(t, header.Get("Retry-After"))
			require.Equal(t, 3, f.arrivals(), "it was sent nowhere")
			for _, id := range []string{"s1", "s2", "s3"} {
				a, _ := f.router.config.Directory.Availability(id, time.Now())
				require.Equal(t, clempool.StateResting, a.State(), "an ejection would be reported first")
			}
		})
	}
}

// Guards against a log line for each response of a server that announces something odd.
func TestOddAnnouncementIsLoggedOnce(t *testing.T) {
	odd := "HTTP/1.1 200 OK\r\nId: " + ownID + "\r\nSigned: s\r\nLeaving: soon\r\nContent-Length: 4\r\n\r\ngood"
	f := newFixture(t, odd, odd, odd, odd, odd, odd, odd)
	core, logs := observer.New(zapcore.InfoLevel)
	f.router.config.Events = clemevent.New(zap.New(core))
	for range 7 {
		status, _, _, err := f.post("/safe/", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	lines := logs.FilterField(zap.Int("event", int(clemevent.ServerLeavingInvalid)))
	servers := map[any]int{}
	for _, line := range lines.All() {
		servers[line.ContextMap()["server"]]++
	}
	for server, count := range servers {
		require.Equal(t, 1, count, "%v", server)
	}
	require.NotEmpty(t, servers)
}

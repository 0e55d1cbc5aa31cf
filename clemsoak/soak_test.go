package clemsoak

import (
	"context"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
)

// Runs a short soak of the real program. It checks only promises that hold
// regardless of the machine's speed.
func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "front")
	output, err := exec.Command("go", "build", "-o", program, "../cmd/clementine-front").CombinedOutput()
	require.NoError(t, err, string(output))
	report, err := Run(context.Background(), Config{
		Seed: 1, FrontPath: program, Directory: t.TempDir(), Fronts: 2, Servers: 3, Clients: 8, FaultDuration: 8 * time.Second, SkipTimeBounds: true,
	})
	require.NoError(t, err)
	require.Empty(t, report.Violations)
	require.Positive(t, report.Served)
}

// Guards against checks that pass although their promise is violated.
func TestObserverReportsViolations(t *testing.T) {
	run := func(id, server string) clemstandin.Run {
		return clemstandin.Run{RequestID: id, Server: server, Service: serviceApp, Organisation: "o", Stamp: "s-" + id + server, Status: 200, Body: "whole"}
	}
	whole := func(id, server string) clemstandin.ClientResponse {
		return clemstandin.ClientResponse{Status: 200, RequestID: id, Stamp: "s-" + id + server, Body: "whole"}
	}
	for promise, breaks := range map[Promise]func(o *observer, r *sentRequest){
		PromiseAtMostOnce: func(o *observer, _ *sentRequest) {
			o.recordRunStart(run("r", "a"))
			o.recordRunStart(run("r", "b"))
		},
		PromiseTrueRefusals: func(o *observer, r *sentRequest) {
			o.recordRunStart(run("r", "a"))
			o.checkResponse(r, clemstandin.ClientResponse{Status: 503})
		},
		PromiseIntactResponses: func(o *observer, r *sentRequest) {
			o.recordRunStart(run("r", "a"))
			response := whole("r", "a")
			response.Body = "who"
			o.checkResponse(r, response)
		},
		PromiseStreamOrder: func(o *observer, r *sentRequest) {
			r.kind = kindResumableStream
			o.recordRunStart(run("r", "a"))
			response := whole("r", "a")
			response.Body = "id: 1\ndata: r 1 v1\n\nid: 3\ndata: r 3 v1\n\n"
			o.checkResponse(r, response)
		},
		PromiseOneVersion: func(o *observer, r *sentRequest) {
			r.kind = kindResumableStream
			o.recordRunStart(run("r", "a"))
			response := whole("r", "a")
			response.Body, response.Err = "id: 1\ndata: r 1 v1\n\n", io.ErrUnexpectedEOF
			o.checkResponse(r, response)
			rest := r.takeUp(1)
			o.recordSent(rest)
			o.recordRunStart(run("r-1", "b"))
			response = whole("r-1", "b")
			response.Body, response.Err = "id: 2\ndata: r-1 2 v2\n\n", io.ErrUnexpectedEOF
			o.checkResponse(rest, response)
		},
		PromiseGenuineRequests: func(o *observer, _ *sentRequest) {
			foreign := run("r", "a")
			foreign.Organisation = "another"
			o.recordRunStart(foreign)
		},
		PromiseRetryBudget: func(o *observer, _ *sentRequest) {
			for range 100 {
				o.recordArrival("r", serviceApp)
			}
		},
		PromiseLoadBound: func(o *observer, _ *sentRequest) {
			for range minBoundViolations {
				o.recordLoad(10, 2, bounds.MaxLoadFactor, boundSlack)
			}
		},
		PromiseFairness: func(o *observer, _ *sentRequest) {
			for n := range 2 * minFairRequests {
				o.recordSent(&sentRequest{call: clemstandin.ClientRequest{RequestID: string(rune(n))}, organisation: []string{"rich", "poor"}[n%2], served: n%2 == 0})
			}
		},
		PromiseRecovery: func(_ *observer, r *sentRequest) { r.sentAt = time.Now().Add(time.Hour) },
	} {
		t.Run(string(promise), func(t *testing.T) {
			o := newObserver()
			r := &sentRequest{call: clemstandin.ClientRequest{RequestID: "r"}, organisation: "o", kind: kindUnsafe, stream: &receivedStream{}}
			o.recordSent(r)
			breaks(o, r)
			o.checkTotals(bounds, time.Now())
			require.Positive(t, o.broken[promise], "%v", o.violations)
		})
	}
}

// A blocked direction delivers its bytes once it is unblocked. A blackholed
// connection never delivers any, while new connections work.
func TestLinkBlocksAndBlackholes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	l, err := newLink(listener.Addr().String())
	require.NoError(t, err)
	defer l.close()
	conn, err := net.Dial("tcp", l.address())
	require.NoError(t, err)
	defer conn.Close()
	echo := make([]byte, 4)
	restore := l.block(toCaller)
	_, err = conn.Write([]byte("held"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = io.ReadFull(conn, echo)
	require.Error(t, err)
	restore()
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err = io.ReadFull(conn, echo)
	require.NoError(t, err)
	require.Equal(t, "held", string(echo))

	l.blackhole()
	_, err = conn.Write([]byte("lost"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = io.ReadFull(conn, echo)
	require.Error(t, err)
	fresh, err := net.Dial("tcp", l.address())
	require.NoError(t, err)
	defer fresh.Close()
	_, err = fresh.Write([]byte("new!"))
	require.NoError(t, err)
	_, err = io.ReadFull(fresh, echo)
	require.NoError(t, err)
	require.Equal(t, "new!", string(echo))
}

// Guards against a version that counts as due by the time at which the store acknowledged
// the version before it.
func TestVersionIsDueAfterItsOwnAcknowledgement(t *testing.T) {
	e := &environment{stall: func() time.Duration { return 0 }}
	due := func(within time.Duration) bool {
		_, acknowledged := e.current()
		return e.isDue(acknowledged, within)
	}
	e.beginVersion()
	e.acknowledge(1)
	time.Sleep(time.Millisecond)
	require.True(t, due(0))
	e.beginVersion()
	require.False(t, due(0), "the store has not acknowledged it yet")
	e.beginVersion()
	e.acknowledge(2)
	require.False(t, due(0), "the store acknowledged an older one")
	e.acknowledge(3)
	time.Sleep(time.Millisecond)
	require.True(t, due(0))
	require.False(t, due(time.Hour))
}

// Guards against a count of requests to cold servers that is never compared, or compared
// while the link delivers what it held back.
func TestRequestsToColdServersAreChecked(t *testing.T) {
	e := &environment{observer: newObserver(), stall: func() time.Duration { return 0 }}
	slot := &serverSlot{}
	e.checkCold(slot, "i-001", 27)
	require.Zero(t, e.observer.broken[PromiseColdServers])
	e.checkCold(slot, "i-001", 28)
	require.Equal(t, 1, e.observer.broken[PromiseColdServers])
	slot.linkQuiet.recordFault()
	e.checkCold(slot, "i-001", 99)
	require.Equal(t, 2, e.observer.checked[PromiseColdServers])
}

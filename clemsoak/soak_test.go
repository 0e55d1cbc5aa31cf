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

// A short soak of the real program. It asserts nothing that hangs on the
// machine's speed: only what must hold at any pace.
func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "front")
	output, err := exec.Command("go", "build", "-o", program, "../cmd/clementine-front").CombinedOutput()
	require.NoError(t, err, string(output))
	report, err := Run(context.Background(), Config{
		Seed: 1, Front: program, Directory: t.TempDir(), Fronts: 2, Servers: 3, Clients: 8, Disturbed: 8 * time.Second, Hasty: true,
	})
	require.NoError(t, err)
	require.Empty(t, report.Violations)
	require.Positive(t, report.Served)
}

// Each check must see what it is for.
func TestWitnessSeesBrokenPromises(t *testing.T) {
	run := func(id, server string) clemstandin.Run {
		return clemstandin.Run{Request: id, Server: server, Service: serviceApp, Organisation: "o", Stamp: "s-" + id + server, Status: 200, Body: "whole"}
	}
	whole := func(id, server string) clemstandin.Answer {
		return clemstandin.Answer{Status: 200, ID: id, Stamp: "s-" + id + server, Body: "whole"}
	}
	for promise, breaks := range map[Promise]func(w *witness, a *asked){
		PromiseOnce: func(w *witness, _ *asked) {
			w.began(run("r", "a"))
			w.began(run("r", "b"))
		},
		PromiseRefusal: func(w *witness, a *asked) {
			w.began(run("r", "a"))
			w.answered(a, clemstandin.Answer{Status: 503})
		},
		PromiseWhole: func(w *witness, a *asked) {
			w.began(run("r", "a"))
			answer := whole("r", "a")
			answer.Body = "who"
			w.answered(a, answer)
		},
		PromiseOrder: func(w *witness, a *asked) {
			a.kind = kindChat
			w.began(run("r", "a"))
			answer := whole("r", "a")
			answer.Body = "id: 1\ndata: r 1\n\nid: 3\ndata: r 3\n\n"
			w.answered(a, answer)
		},
		PromiseAsked: func(w *witness, _ *asked) {
			stranger := run("r", "a")
			stranger.Organisation = "another"
			w.began(stranger)
		},
		PromiseBudget: func(w *witness, _ *asked) {
			for range 100 {
				w.arrival("r", serviceApp)
			}
		},
		PromiseBound: func(w *witness, _ *asked) {
			for range boundLeast {
				w.load(10, 2, promises.Multiple, boundFloor)
			}
		},
		PromiseFair: func(w *witness, _ *asked) {
			for n := range 2 * fairLeast {
				w.sent(&asked{visit: clemstandin.Visit{ID: string(rune(n))}, organisation: []string{"rich", "poor"}[n%2], served: n%2 == 0})
			}
		},
		PromiseRecovery: func(_ *witness, a *asked) { a.at = time.Now().Add(time.Hour) },
	} {
		t.Run(string(promise), func(t *testing.T) {
			w := newWitness()
			a := &asked{visit: clemstandin.Visit{ID: "r"}, organisation: "o", kind: kindOnce}
			w.sent(a)
			breaks(w, a)
			w.conclude(promises, time.Now())
			require.Positive(t, w.broken[promise], "%v", w.violations)
		})
	}
}

// A link holds a direction, delivers afterwards, and silences for good.
func TestLinkHoldsAndSilences(t *testing.T) {
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
	restore := l.hold(down)
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

	l.silence()
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

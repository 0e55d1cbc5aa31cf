package clemquota

import (
	"bufio"
	"io"
	"log"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkRequest compares a request over loopback without and with a Listener.
func BenchmarkRequest(b *testing.B) {
	for _, isLimited := range []bool{false, true} {
		name := map[bool]string{false: "plain", true: "limited"}[isLimited]
		b.Run(name, func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			server := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(echo), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
			listener := inner
			if isLimited {
				limited := NewListener(ListenerConfig{Listener: inner, Budget: NewBudget(64 << 20), Limits: func() Limits { return testLimits }})
				listener, server.ConnState, server.ConnContext = limited, limited.ConnState, ConnContext
			}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			conn, err := net.Dial("tcp", inner.Addr().String())
			require.NoError(b, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			request := []byte("POST /a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\nAccept: */*\r\nUser-Agent: b\r\nContent-Length: 4\r\n\r\nbody")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
}

// BenchmarkCharge measures an ordinary request's use of a budget with many holds.
func BenchmarkCharge(b *testing.B) {
	budget := NewBudget(1 << 30)
	for range 2000 {
		require.NoError(b, budget.NewHold(nil).Charge(1000))
	}
	h := budget.NewHold(nil)
	b.ReportAllocs()
	for b.Loop() {
		_ = h.Charge(2000)
		_ = h.Pin()
		h.Release()
	}
}

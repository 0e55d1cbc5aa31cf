package clemrpc

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Guards against a peer whose response to the request for a connection never ends.
func TestEndlessHeadOfAPeer(t *testing.T) {
	for name, repeated := range map[string]string{"lines": "A:\n", "line": "x"} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			peers := NewPeers(ClientConfig{Key: testKey, Dial: func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, server) }()
				go func() {
					n, err := io.WriteString(server, "HTTP/1.1 200 OK\r\nA: ")
					for err == nil {
						var more int
						more, err = io.WriteString(server, strings.Repeat(repeated, 1000))
						n += more
					}
					sent <- n
				}()
				return client, nil
			}})
			defer peers.Close()
			_, err := peers.Peer(address).Offer(t.Context(), &clemwire.Offer{})
			require.True(t, clementineturn.IsNotRun(err), err)
			require.LessOrEqual(t, <-sent, 2*maxHeadBytes)
		})
	}
}

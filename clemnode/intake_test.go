package clemnode

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemstandin"
)

// Guards against heads of an entry with sidecars that never end or take too long, bodies
// that the budget has no room for, and a read timeout that the limits replace.
func TestLimitsOfTheListeners(t *testing.T) {
	for name, c := range map[string]struct {
		sent, repeated, want string
		elapsed              time.Duration
	}{
		"body in time":          {sent: postHead + "body", want: "200 whole", elapsed: 20 * time.Second},
		"slow body":             {sent: postHead + "b", want: "200 timeout true", elapsed: bodyTimeout},
		"slow head":             {sent: "GET / HTTP/1.1\r\nHost: x", want: "closed", elapsed: headerTimeout + 50*time.Millisecond},
		"no head":               {want: "closed", elapsed: headerTimeout + 50*time.Millisecond},
		"endless lines":         {sent: "GET / HTTP/1.1\r\n", repeated: "A: " + strings.Repeat("x", 400) + "\r\n", want: "431 "},
		"lines over the budget": {sent: "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\n", 20000) + "\r\n", want: "503 "},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, server := clemstandin.NewNetwork(), newHTTPServer(headerTimeout, bodyTimeout, http.HandlerFunc(respondSlowly))
				limits := &intake{budget: clemquota.NewBudget(1 << 20), metrics: clemmetric.New()}
				// A request that was forwarded, without which the only large one is served.
				forwarded := limits.budget.NewHold(nil)
				require.NoError(t, forwarded.Charge(1<<19))
				require.NoError(t, forwarded.Pin())
				listener := limits.limitListener(network.Listen("entry:80"), server)
				ended := make(chan error, 1)
				go func() { ended <- server.Serve(listener) }()
				conn, err := network.Dial(t.Context(), "tcp", "entry:80")
				require.NoError(t, err)
				started := time.Now()
				go func() {
					_, err := io.WriteString(conn, c.sent)
					for err == nil && c.repeated != "" {
						_, err = io.WriteString(conn, c.repeated)
					}
				}()
				got := "closed"
				if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					body, err := io.ReadAll(response.Body)
					require.NoError(t, err)
					got = response.Status[:4] + string(body)
				}
				require.Equal(t, c.want, got)
				require.Equal(t, c.elapsed, time.Since(started))
				require.NoError(t, conn.Close())
				time.Sleep(time.Second)
				require.NoError(t, server.Close())
				require.ErrorIs(t, <-ended, http.ErrServerClosed)
			})
		})
	}
}

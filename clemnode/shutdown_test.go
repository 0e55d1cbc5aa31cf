package clemnode

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
)

// TestShutdown stops an entry, a sidecar, or both in the middle of a stream,
// with two signals each. The caller must get the complete response, and the
// remaining nodes must serve new chats.
func TestShutdown(t *testing.T) {
	for _, test := range []struct {
		name           string
		entry, sidecar bool
	}{
		{name: "entry", entry: true},
		{name: "sidecar", sidecar: true},
		{name: "both", entry: true, sidecar: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, clemstandin.EngineConfig{StepTime: tokenInterval, MeanOutputTokens: unboundedOutput})
			response, err := f.open(t.Context(), f.entries[0], "cribs", chatPath, chatBody(500, true), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			reader := bufio.NewReader(response.Body)
			head, _ := readEvents(t, reader, 5)
			server := response.Header.Get("X-Backend-Server")

			var stopped []<-chan struct{}
			stop := func(name string) {
				f.stop[name]()
				stopped = append(stopped, f.stop[name]())
			}
			if test.entry {
				stop("entry-1")
			}
			if test.sidecar {
				stop(server)
			}
			tail, err := io.ReadAll(reader)
			require.NoError(t, err)
			text := head + string(tail)
			require.Equal(t, 500, strings.Count(text, `"content":"`)-1)
			require.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"))
			for _, done := range stopped {
				<-done
			}
			got, err := f.post(f.entries[1], "cribs", chatPath, chatBody(5, false), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, got.status, got.body)
			if test.sidecar {
				require.NotEqual(t, server, got.header.Get("X-Backend-Server"))
			}
		})
	}
}

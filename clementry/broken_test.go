package clementry

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemwire"
)

// Guards against an error of another server within a stream that has begun and broke
// off, and against one that ends there as if it were complete: no other server is asked
// once a byte was sent.
func TestBrokenStreamIsNotContinuedElsewhere(t *testing.T) {
	withStatus := func(status uint32) func([]*clemwire.Frame) []*clemwire.Frame {
		return func(frames []*clemwire.Frame) []*clemwire.Frame { frames[0].Start.Status = status; return frames }
	}
	for name, other := range map[string]*fakeSidecar{
		"error":          alteringSidecar("text/plain", []string{"the error\n\n"}, withStatus(http.StatusInternalServerError)),
		"client's fault": alteringSidecar("text/plain", []string{"the error\n\n"}, withStatus(http.StatusBadRequest)),
		"error event":    alteringSidecar(eventStream, []string{"data: the error\n\n", "data: [DONE]\n\n"}, unaltered),
		"no events":      alteringSidecar(eventStream, nil, unaltered),
		"whole stream":   alteringSidecar(eventStream, streamEvents, unaltered),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := alteringSidecar(eventStream, streamEvents, func(frames []*clemwire.Frame) []*clemwire.Frame { return frames[:2] })
				got := post(newEntry(first, other), "/v1/chat/completions", streamedChat, nil)
				require.Equal(t, http.StatusOK, got.Code)
				events := strings.SplitAfter(got.Body.String(), "\n\n")
				require.Len(t, events, 3, got.Body.String())
				require.True(t, strings.HasSuffix(events[0], streamEvents[0]))
				require.Contains(t, events[1], `"code":"cut"`, "the entry's own error, in place of the end marker")
				require.Empty(t, events[2])
				require.Empty(t, other.offers)
			})
		})
	}
}

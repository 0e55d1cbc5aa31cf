package clembackend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/clementineturn/clementineturn/clemwire"
)

// TestCopyAllocates checks that the allocations for a response do not grow with
// its number of chunks. The pool may allocate one buffer per run.
func TestCopyAllocates(t *testing.T) {
	chunk := bytes.Repeat([]byte("x"), 100)
	allocations := func(chunks int) float64 {
		return testing.AllocsPerRun(10, func() {
			var end streamTail
			from := &chunkReader{chunk: chunk, remaining: chunks}
			require.NoError(t, end.copy(context.Background(), from, discard{}))
		})
	}
	require.InDelta(t, allocations(10), allocations(10_000), 1)
}

// TestRunMediaIsUTF8 runs a request whose response has a media type that is not
// valid UTF-8. Unless it is sanitized, marshalling the message fails, and with
// it the whole response.
func TestRunMediaIsUTF8(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; title=caf\xe9")
		_, _ = io.WriteString(w, "tea")
	})
	withBackend(t, handler, func(t *testing.T, b *Backend) {
		var got recorder
		require.NoError(t, b.Run(t.Context(), reserveOffer(), &got))
		require.Equal(t, "text/plain; title=caf\ufffd", got.start.GetMedia())
		_, err := proto.Marshal(got.start)
		require.NoError(t, err)
		require.Equal(t, "tea", got.data.String())
	})
}

// chunkReader returns the same chunk a given number of times.
type chunkReader struct {
	chunk     []byte
	remaining int
}

func (r *chunkReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	r.remaining--
	return copy(p, r.chunk), nil
}

type discard struct{}

func (discard) Start(*clemwire.Start) error { return nil }
func (discard) Data([]byte) error           { return nil }

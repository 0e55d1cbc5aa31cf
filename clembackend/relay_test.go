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

// TestCopyAllocates passes on answers of different lengths: chunks cost no
// allocation. The pool may allocate a buffer for a run.
func TestCopyAllocates(t *testing.T) {
	chunk := bytes.Repeat([]byte("x"), 100)
	allocations := func(chunks int) float64 {
		return testing.AllocsPerRun(10, func() {
			var end tail
			from := &repeater{chunk: chunk, left: chunks}
			require.NoError(t, end.copy(context.Background(), from, discard{}))
		})
	}
	require.InDelta(t, allocations(10), allocations(10_000), 1)
}

// TestRunMediaIsText passes on a media type that is not UTF-8: no message of
// the fleet could carry it, and the whole answer would fail.
func TestRunMediaIsText(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; title=caf\xe9")
		_, _ = io.WriteString(w, "tea")
	})
	inBubble(t, handler, func(t *testing.T, b *Backend) {
		var got recorder
		require.NoError(t, b.Run(t.Context(), reserve(), &got))
		require.Equal(t, "text/plain; title=caf\ufffd", got.start.GetMedia())
		_, err := proto.Marshal(got.start)
		require.NoError(t, err)
		require.Equal(t, "tea", got.data.String())
	})
}

// repeater reads as a number of equal chunks.
type repeater struct {
	chunk []byte
	left  int
}

func (r *repeater) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	return copy(p, r.chunk), nil
}

type discard struct{}

func (discard) Start(*clemwire.Start) error { return nil }
func (discard) Data([]byte) error           { return nil }

package clembackend

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

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

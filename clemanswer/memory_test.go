package clemanswer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Guards against answers that do not end and that together take more memory than a
// process has, and against the end of small ones because of them.
func TestAnswersShareTheMemory(t *testing.T) {
	const (
		maxMemory = 4 << 20
		endless   = 16
	)
	s := New(Config{MaxBytes: maxBytes, MaxMemory: maxMemory, Linger: linger})
	open := func(attempt string) *Answer {
		a, err := s.Open(&clemwire.Offer{Request: "r", Attempt: attempt, Organisation: "cribs"}, time.Now())
		require.NoError(t, err)
		require.NoError(t, a.Start(&clemwire.Start{Status: 200, Media: "text/plain"}))
		return a
	}
	small := open("small")
	var running []*Answer
	for n := range endless {
		running = append(running, open(fmt.Sprint(n)))
	}
	chunk := []byte(strings.Repeat("x", 16<<10))
	ended := 0
	for range maxBytes/len(chunk) - 1 {
		for n, a := range running {
			if a == nil {
				continue
			}
			if err := a.Data(chunk); err != nil {
				require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded), err)
				s.Close(a, err, time.Now())
				running[n] = nil
				ended++
			}
		}
		require.NoError(t, small.Data([]byte("y")))
		require.LessOrEqual(t, s.total.used.Load(), int64(maxMemory+endless*len(chunk)))
	}
	require.Positive(t, ended)
	require.Less(t, ended, endless, "those that fit go on")
	s.Close(small, nil, time.Now())
	for _, a := range running {
		if a != nil {
			s.Drop(a)
		}
	}
	s.Sweep(time.Now().Add(2 * linger))
	require.Zero(t, s.total.used.Load())
	require.Zero(t, s.total.answers.Load())
}

// Guards against events that take far more memory than their bytes, or do not end.
func TestOddEventsAreBounded(t *testing.T) {
	for text, want := range map[string]string{"\n\n": "the answer is larger", "x": "an event is larger"} {
		a := openAnswer(t, New(Config{MaxBytes: 2 * maxEventBytes, Linger: linger}), eventStream)
		chunk := []byte(strings.Repeat(text, 4<<10))
		var err error
		for sent := 0; err == nil; sent += len(chunk) {
			require.Less(t, sent, 2*maxEventBytes)
			err = a.Data(chunk)
		}
		require.True(t, clementineturn.IsKind(err, clementineturn.KindTooLarge), err)
		require.ErrorContains(t, err, want)
		require.LessOrEqual(t, len(a.frames), maxOverhead*2*maxEventBytes/minFrameMemory+1)
	}
}

package clemanswer

import (
	"bytes"
	"context"
	"flag"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

func TestMain(m *testing.M) {
	// A fixed seed makes runs reproducible; the command line can set another one.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}

const (
	maxBytes = 1 << 20
	linger   = 10 * time.Second
)

var offer = &clemwire.Offer{Request: "r", Attempt: "r.1", Organisation: "cribs"}

func newStore() *Store { return New(Config{MaxBytes: maxBytes, Linger: linger}) }

func fetchFrom(from uint64) *clemwire.Fetch {
	return &clemwire.Fetch{Request: "r", Attempt: "r.1", Organisation: "cribs", From: from}
}

// collect reads an answer to its end.
func collect(ctx context.Context, s *Store, from uint64) ([]*clemwire.Frame, error) {
	var frames []*clemwire.Frame
	err := s.Fetch(ctx, fetchFrom(from), func(frame *clemwire.Frame) error {
		frames = append(frames, frame)
		return nil
	})
	return frames, err
}

func openAnswer(t require.TestingT, s *Store, media string) *Answer {
	a, err := s.Open(offer, time.Now())
	require.NoError(t, err)
	require.NoError(t, a.Start(&clemwire.Start{Status: 200, Media: media}))
	return a
}

// TestResumeFromAnyFrame writes an answer in arbitrary chunks: readers get the
// same bytes from any frame on, and a frame of a stream holds one complete event.
func TestResumeFromAnyFrame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := rapid.Bool().Draw(t, "stream")
		parts := rapid.SliceOf(rapid.SampledFrom([]string{"data: x", "\n", "\n\n", "\r\n", "\r\n\r\n", strings.Repeat("y", 900)})).Draw(t, "parts")
		text := strings.Join(parts, "")
		cuts := rapid.SliceOf(rapid.IntRange(0, len(text))).Draw(t, "cuts")
		media := "application/json"
		if stream {
			media = eventStream + "; charset=utf-8"
		}
		s := newStore()
		a := openAnswer(t, s, media)
		rest := []byte(text)
		for _, cut := range cuts {
			n := min(cut, len(rest))
			require.NoError(t, a.Data(rest[:n]))
			rest = rest[n:]
		}
		require.NoError(t, a.Data(rest))
		s.Close(a, nil, time.Now())
		frames, err := collect(context.Background(), s, 0)
		require.NoError(t, err)
		var got []byte
		for i, frame := range frames {
			require.EqualValues(t, i, frame.GetSeq())
			require.Equal(t, "r.1", frame.GetAttempt())
			got = append(got, frame.GetData()...)
			if i > 0 && i < len(frames)-2 && stream {
				require.Equal(t, len(frame.GetData()), firstEventLen(frame.GetData()), "one whole event")
			}
		}
		require.Equal(t, text, string(got))
		end := frames[len(frames)-1].GetEnd()
		require.EqualValues(t, len(text), end.GetLength())
		require.Equal(t, xxhash.Sum64String(text), end.GetDigest())
		require.Equal(t, text, string(a.Body().GetBody()))
		from := rapid.IntRange(0, len(frames)+2).Draw(t, "from")
		tail, err := collect(context.Background(), s, uint64(from))
		require.NoError(t, err)
		require.Equal(t, frames[min(from, len(frames)-1):], tail)
	})
}

// TestConcurrentReaders reads an answer with several readers while it is written.
func TestConcurrentReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a := openAnswer(t, s, eventStream)
		var readers sync.WaitGroup
		for from := range uint64(4) {
			readers.Go(func() {
				frames, err := collect(t.Context(), s, from)
				require.NoError(t, err)
				require.Len(t, frames, 102-int(from))
			})
		}
		for range 100 {
			time.Sleep(time.Millisecond)
			require.NoError(t, a.Data([]byte("data: x\n\n")))
		}
		require.Equal(t, 1, s.Unread())
		s.Close(a, nil, time.Now())
		readers.Wait()
		require.Zero(t, s.Unread())
		require.Error(t, a.Data([]byte("late")))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := collect(ctx, s, 0)
		require.NoError(t, err, "an ended answer needs no wait")
	})
}

func TestSizeLimit(t *testing.T) {
	for _, media := range []string{eventStream, "application/json"} {
		s := New(Config{MaxBytes: 100, Linger: linger})
		a := openAnswer(t, s, media)
		require.NoError(t, a.Data(make([]byte, 60)))
		err := a.Data(make([]byte, 41))
		require.True(t, clementineturn.IsKind(err, clementineturn.KindTooLarge), err)
		require.NoError(t, a.Data(make([]byte, 40)))
	}
}

func TestStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a := openAnswer(t, s, eventStream)
		_, err := s.Open(offer, time.Now())
		require.True(t, clementineturn.IsKind(err, clementineturn.KindConflict))
		require.Error(t, a.Start(&clemwire.Start{}), "a second start")

		foreign := fetchFrom(0)
		foreign.Organisation = "cradles"
		err = s.Fetch(t.Context(), foreign, nil)
		require.True(t, clementineturn.IsKind(err, clementineturn.KindNotFound))
		require.Empty(t, s.Orphans(time.Now()))
		time.Sleep(linger + time.Second)
		require.Equal(t, []string{"r.1"}, s.Orphans(time.Now()))

		s.Close(a, clementineturn.Errorf(clementineturn.KindTimeout, "late"), time.Now())
		s.Close(a, nil, time.Now())
		frames, err := collect(t.Context(), s, 9)
		require.NoError(t, err)
		require.Equal(t, "timeout", frames[0].GetEnd().GetRefusal().GetKind())
		s.Sweep(time.Now())
		_, err = collect(t.Context(), s, 0)
		require.NoError(t, err)
		time.Sleep(linger + time.Second)
		s.Sweep(time.Now())
		_, err = collect(t.Context(), s, 0)
		require.True(t, clementineturn.IsKind(err, clementineturn.KindEvicted))
	})
}

// TestDrop removes an answer that has a waiting reader, which gets an end frame.
func TestDrop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, err := s.Open(offer, time.Now())
		require.NoError(t, err)
		ended := make(chan []*clemwire.Frame, 1)
		go func() {
			frames, _ := collect(t.Context(), s, 0)
			ended <- frames
		}()
		synctest.Wait()
		s.Drop(a)
		require.Equal(t, "evicted", (<-ended)[0].GetEnd().GetRefusal().GetKind())
		require.Zero(t, s.Unread())
	})
}

// TestEvictionOverMaxBytes evicts the oldest ended answer over the size limit.
func TestEvictionOverMaxBytes(t *testing.T) {
	s := New(Config{MaxBytes: 100, Linger: linger})
	for _, attempt := range []string{"r.1", "r.2", "r.3"} {
		a, err := s.Open(&clemwire.Offer{Request: "r", Attempt: attempt, Organisation: "cribs"}, time.Now())
		require.NoError(t, err)
		require.NoError(t, a.Data(bytes.Repeat([]byte("x"), 50)))
		s.Close(a, nil, time.Now())
	}
	_, err := collect(t.Context(), s, 0)
	require.True(t, clementineturn.IsKind(err, clementineturn.KindEvicted))
	require.Len(t, s.ended, 2)
}

// TestBodyIncludesUnterminatedEvent reads the body of a stream whose last event
// has no blank line. Without that event, the replay of the outcome to a retry
// would differ from the answer.
func TestBodyIncludesUnterminatedEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a := openAnswer(t, s, "text/event-stream")
		require.NoError(t, a.Data([]byte("data: a\n\ndata: b")))
		before := a.Body()
		require.Equal(t, "data: a\n\ndata: b", string(before.GetBody()))
		s.Close(a, nil, time.Now())
		require.Equal(t, string(before.GetBody()), string(a.Body().GetBody()))
	})
}

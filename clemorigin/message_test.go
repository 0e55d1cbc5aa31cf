package clemorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Guards against take-ups that are refused because the entry that began the streams ended
// before it had written them, which in a larger fleet were most of those in progress (LOST).
func TestPeersWriteTheStreamsOfAnEntryThatEnds(t *testing.T) {
	runTest(t, func(w *world) {
		w.entries = 100
		w.servers = []clempool.RecordConfig{listed("s1", "v1"), listed("s2", "v2")}
		first, stopFirst := w.start("a")
		second, stopSecond := w.start("b")
		third, stopThird := w.start("c")
		time.Sleep(3 * time.Second)
		for n := range 10 {
			first.Record(Key(n), Origin{"pool", fmt.Sprint("v", 1+n%2)}, "s1")
		}
		second.RecordMessage(first.TakeMessage())
		stopFirst()
		for n := range 10 {
			origin, err := third.Find(w.ctx, Key(n), "pool")
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint("v", 1+n%2), origin.Version)
		}
		stopSecond()
		stopThird()
	})
}

// A stream is named in some messages and no more, and not at all while there is one version.
// Messages and what waits for them are bounded.
func TestMessagesAreBounded(t *testing.T) {
	runTest(t, func(w *world) {
		w.servers = []clempool.RecordConfig{listed("s1", "v1")}
		tracker, stop := w.start("a")
		defer stop()
		time.Sleep(time.Second)
		tracker.Record(1, Origin{"pool", "v1"}, "s1")
		require.Nil(t, tracker.TakeMessage())
		tracker.config.Directory.Put(clempool.NewRecord(listed("s2", "v2")))
		time.Sleep(time.Second)
		tracker.Record(2, Origin{"pool", "v2"}, "s2")
		for range messageCopies {
			require.Equal(t, []uint64{2}, tracker.TakeMessage()[0].GetStreams())
		}
		require.Nil(t, tracker.TakeMessage())
		for n := range 2 * maxUnsentStreams {
			tracker.Record(Key(n+10), Origin{"pool", "v2"}, "s2")
		}
		require.Len(t, tracker.unsent, maxUnsentStreams)
		require.Len(t, tracker.TakeMessage()[0].GetStreams(), maxMessageStreams)
		before := len(tracker.streams)
		tracker.RecordMessage([]*clemwire.StreamOrigin{{Service: "pool", Version: "v1", Streams: make([]uint64, 10*maxMessageStreams)}})
		require.LessOrEqual(t, len(tracker.streams), before+maxMessageStreams)
	})
}

package clemfront

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// takenStream is a stream that a client takes up after some events.
type takenStream struct {
	cluster *cluster
	id      string
	// versions are those of the engines whose events the client has.
	versions []string
	// isResumed is set once a take-up has brought the rest.
	isResumed bool
}

// eventReader is a client that leaves after some events.
type eventReader struct {
	*httptest.ResponseRecorder
	leave  context.CancelFunc
	events int
}

func (r *eventReader) Write(data []byte) (int, error) {
	n, err := r.ResponseRecorder.Write(data)
	if r.events -= strings.Count(string(data), "\n\n"); r.events <= 0 {
		r.leave()
	}
	return n, err
}

// request sends a request to the entry and reads the given number of events. It returns the
// versions that they name.
func (s *takenStream) request(entry string, header http.Header, events int) (versions []string, status int) {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	reader := &eventReader{ResponseRecorder: httptest.NewRecorder(), leave: leave, events: events}
	defer func() {
		if recover() != nil {
			status = 0
		}
		for line := range strings.SplitSeq(reader.Body.String(), "\n") {
			if version, ok := strings.CutPrefix(line, "data: "); ok {
				versions = append(versions, version)
			}
		}
	}()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://test/chat", nil)
	request.Header = header
	s.cluster.entry(entry).router.ServeHTTP(reader, request)
	return nil, reader.Code
}

// begin reads the first events of the stream.
func (s *takenStream) begin(entry string, part uint64) {
	s.versions, _ = s.request(entry, http.Header{"Id": {s.id}, "Parts": {fmt.Sprintf("%x,1", part)}}, 2)
}

// takeUp takes the stream up at the entry.
func (s *takenStream) takeUp(entry string, part uint64) {
	rest, status := s.request(entry, http.Header{
		"Id": {s.id + "-again"}, "Resumes": {s.id}, "After": {fmt.Sprint(len(s.versions))}, "Parts": {fmt.Sprintf("%x,1", part)},
	}, eventsPerReply+1)
	s.isResumed = status == http.StatusOK && len(s.versions)+len(rest) == eventsPerReply
	s.versions = append(s.versions, rest...)
}

// isJoined reports whether the stream has events of two versions.
func (s *takenStream) isJoined() bool {
	for _, version := range s.versions {
		if version != s.versions[0] {
			return true
		}
	}
	return false
}

// Guards against streams that hold events from two versions of the engines' software after
// clients have taken them up (issue 55, ORDER), and against take-ups that fail although the
// version that began the stream is known (LOST).
func TestStreamsAreTakenUpAtTheVersionThatBeganThem(t *testing.T) {
	const (
		entries, engines, streams = 4, 12, 24
		settled                   = time.Second
	)
	release := func(c *cluster, count int, version string) {
		for n := range count {
			c.engines[fmt.Sprintf("10.1.0.%d:80", n+1)].release(version)
		}
	}
	restartAll := func(c *cluster) {
		for n := range entries {
			c.stopEntry(entryName(n))
		}
		time.Sleep(time.Second)
		for n := range entries {
			c.startEntry(entryName(n))
		}
		time.Sleep(time.Second)
	}
	// replace replaces two thirds of the engines by others of the same versions.
	replace := func(c *cluster) {
		for n := range engines {
			if e := c.engines[fmt.Sprintf("10.1.0.%d:80", n+1)]; n%3 > 0 {
				e.release(e.version)
			}
		}
		time.Sleep(settled)
	}
	replaceAndRestart := func(c *cluster) {
		replace(c)
		restartAll(c)
	}
	for name, c := range map[string]struct {
		before func(c *cluster)
		// wait is the time between the streams' first events and what follows.
		wait  time.Duration
		after func(c *cluster)
		// resumed is the least number of streams that go on.
		resumed int
	}{
		"one version, at another entry":      {func(*cluster) {}, 0, func(*cluster) {}, streams},
		"one version, all entries restarted": {func(*cluster) {}, 0, restartAll, streams},
		"two versions, at another entry": {func(c *cluster) {
			release(c, engines/2, "v2")
			time.Sleep(settled)
		}, 0, replace, streams},
		"two versions, all entries restarted": {func(c *cluster) {
			release(c, engines/2, "v2")
			time.Sleep(settled)
		}, settled, replaceAndRestart, streams},
		"two versions, all entries restarted at once": {func(c *cluster) {
			release(c, engines/2, "v2")
			time.Sleep(settled)
		}, 0, replaceAndRestart, 0},
		"half released afterwards, all entries restarted": {func(*cluster) {}, 0, func(c *cluster) {
			release(c, engines/2, "v2")
			time.Sleep(settled)
			restartAll(c)
		}, streams / 2},
		"all released afterwards": {func(*cluster) {}, 0, func(c *cluster) {
			release(c, engines, "v2")
			time.Sleep(settled)
		}, 0},
		"all released afterwards, all entries restarted": {func(*cluster) {}, 0, func(c *cluster) {
			release(c, engines, "v2")
			restartAll(c)
		}, 0},
		"released twice, all entries restarted twice": {func(c *cluster) {
			release(c, engines/2, "v2")
			time.Sleep(settled)
		}, settled, func(c *cluster) {
			restartAll(c)
			release(c, engines/2, "v3")
			restartAll(c)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newCluster(t, entries, engines)
				random := rand.New(rand.NewPCG(1, 2))
				time.Sleep(settled)
				c.before(fleet)
				var taken []*takenStream
				for n := range streams {
					s := &takenStream{cluster: fleet, id: fmt.Sprintf("stream-%d", n)}
					s.begin(entryName(random.IntN(entries)), uint64(n+1))
					require.NotEmpty(t, s.versions)
					taken = append(taken, s)
				}
				time.Sleep(c.wait)
				c.after(fleet)
				resumed, joined := 0, 0
				for n, s := range taken {
					s.takeUp(entryName(random.IntN(entries)), uint64(n+1))
					if s.isResumed {
						resumed++
					}
					if s.isJoined() {
						joined++
					}
				}
				fleet.stopAll()
				require.Zero(t, joined, "streams of two versions")
				require.GreaterOrEqual(t, resumed, c.resumed)
			})
		})
	}
}

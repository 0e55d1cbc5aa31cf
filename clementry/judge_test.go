package clementry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Behaviours of a sidecar of the property test towards one attempt.
const (
	refusesNotRun      = iota // refuses it as not run
	refusesNotRunLate         // refuses it as not run after a second
	losesOffer                // gives no verdict and does not run it
	runsWithoutVerdict        // gives no verdict and runs it
	hangs                     // gives no verdict until the offer's context ends, and runs it
	endsNotRun                // accepts it and ends the answer with an error that says not run
	cutsAnswer                // runs it and cuts the answer
	answers500                // runs it and answers 500
	answers                   // runs it and answers
	behaviourCount
)

// scriptedSidecars are sidecars that take the behaviour for each attempt from a
// drawn list. ran is set once any attempt may have reached a backend server.
type scriptedSidecars struct {
	mu         sync.Mutex
	behaviours []int
	byAttempt  map[string]int
	ran        bool
}

func (s *scriptedSidecars) next(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	behaviour := refusesNotRun
	if len(s.behaviours) > 0 {
		behaviour, s.behaviours = s.behaviours[0], s.behaviours[1:]
	}
	s.byAttempt[attempt] = behaviour
	s.ran = s.ran || behaviour >= runsWithoutVerdict && behaviour != endsNotRun
	return behaviour
}

func (s *scriptedSidecars) behaviourOf(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byAttempt[attempt]
}

func (s *scriptedSidecars) offer(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
	refusal := clementineturn.Refuse(clementineturn.KindOverloaded, "full").Refusal()
	switch s.next(offer.GetAttempt()) {
	case refusesNotRun:
		return &clemwire.Verdict{Refusal: refusal}, nil
	case refusesNotRunLate:
		time.Sleep(time.Second)
		return &clemwire.Verdict{Refusal: refusal}, nil
	case losesOffer, runsWithoutVerdict:
		return nil, clementineturn.Errorf(clementineturn.KindUnknown, "connection lost")
	case hangs:
		<-ctx.Done()
		return nil, clementineturn.Errorf(clementineturn.KindUnknown, "no verdict: %w", ctx.Err())
	}
	return &clemwire.Verdict{}, nil
}

func (s *scriptedSidecars) frames(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
	return framesThenCut(func(fetch *clemwire.Fetch) []*clemwire.Frame {
		frames := completeFrames(fetch, "application/json", []string{"{", "}"})
		switch s.behaviourOf(fetch.GetAttempt()) {
		case endsNotRun:
			frames = frames[:1]
			frames[0].Start, frames[0].End = nil, &clemwire.End{Refusal: clementineturn.Refuse(clementineturn.KindUnavailable, "no connection").Refusal()}
		case cutsAnswer:
			frames = frames[:2]
		case answers500:
			frames[0].Start.Status = http.StatusInternalServerError
		}
		return frames
	})(ctx, fetch, handler)
}

// TestNotRunIsTrue draws the behaviour of the sidecars towards the attempts of
// one request: an error with not_run must mean that no attempt may have run.
func TestNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &scriptedSidecars{behaviours: rapid.SliceOfN(rapid.IntRange(0, behaviourCount-1), 0, 8).Draw(rt, "deeds"), byAttempt: map[string]int{}}
		atMostOnce := rapid.Bool().Draw(rt, "at most once")
		var body openAIError
		var code int
		synctest.Test(t, func(t *testing.T) {
			sidecars := make([]*fakeSidecar, 3)
			for i := range sidecars {
				sidecars[i] = &fakeSidecar{offer: s.offer, frames: s.frames}
			}
			path, header := chatPath, map[string]string{}
			if atMostOnce {
				path, header[headerIdempotencyKey] = servicePath, "k1"
			}
			got := post(newEntry(sidecars...), path, plainChat, header)
			code = got.Code
			require.NoError(t, json.Unmarshal(got.Body.Bytes(), &body))
		})
		if code != http.StatusOK && body.Error.NotRun && s.ran {
			rt.Fatalf("%s: %s is said not to have run: %v", body.Error.Code, body.Error.Message, s.byAttempt)
		}
		if code == http.StatusOK && !s.ran {
			rt.Fatalf("an answer although no attempt ran: %v", s.byAttempt)
		}
	})
}

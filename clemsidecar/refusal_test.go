package clemsidecar

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemwire"
)

// verdictRecorder records which attempts were reported as accepted and as not
// run.
type verdictRecorder struct {
	*fixture
	calls sync.WaitGroup

	mu       sync.Mutex
	notRun   map[string]bool
	accepted map[string]bool
}

func (v *verdictRecorder) markAccepted(attempt string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.accepted[attempt] = true
}

func (v *verdictRecorder) isAccepted(attempt string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.accepted[attempt]
}

func (v *verdictRecorder) record(attempt string, notRun bool) {
	if !notRun {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notRun[attempt] = true
}

// offer makes an offer in the background and reads its answer if it is accepted.
func (v *verdictRecorder) offer(t *testing.T, offer *clemwire.Offer) {
	v.calls.Go(func() {
		accepted := v.isAccepted(offer.GetAttempt())
		verdict, err := v.Offer(t.Context(), offer)
		if err != nil {
			v.record(offer.GetAttempt(), clementineturn.IsNotRun(err))
			return
		}
		// After a stale refusal the entry offers the same attempt again, so the
		// refusal is final only if the attempt was accepted before.
		if !accepted && verdict.GetRefusal().GetKind() == clementineturn.KindStale.String() {
			return
		}
		v.record(offer.GetAttempt(), verdict.GetRefusal().GetNotRun())
		if verdict.GetRefusal() != nil {
			return
		}
		v.markAccepted(offer.GetAttempt())
		fetch := &clemwire.Fetch{Request: offer.GetRequest(), Attempt: offer.GetAttempt(), Organisation: offer.GetOrganisation()}
		err = v.Fetch(t.Context(), fetch, func(frame *clemwire.Frame) error {
			v.record(offer.GetAttempt(), frame.GetEnd().GetRefusal().GetNotRun())
			return nil
		})
		v.record(offer.GetAttempt(), clementineturn.IsNotRun(err))
	})
}

func (v *verdictRecorder) cancelAttempt(t *testing.T, attempt string) {
	v.calls.Go(func() {
		cancelled, err := v.Cancel(t.Context(), &clemwire.Cancel{Request: "r", Attempt: attempt, Organisation: "cribs"})
		v.record(attempt, err == nil && cancelled.GetNotRun())
	})
}

// TestNotRunWorkNeverRuns interleaves offers, duplicates, cancels, drains,
// configuration changes, timeouts and backend faults. An attempt that was ever
// reported as not run must never reach the backend server, and no attempt and no
// idempotency key may reach it twice.
func TestNotRunWorkNeverRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.Uint32Range(1, 2).Draw(rt, "slots")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 25).Draw(rt, "steps")
		var violation string
		synctest.Test(t, func(t *testing.T) {
			v := &verdictRecorder{fixture: newFixture(slots), notRun: map[string]bool{}, accepted: map[string]bool{}}
			for _, step := range steps {
				step.apply(t, v)
				if step.wait >= 0 {
					time.Sleep(step.wait)
				}
			}
			v.calls.Wait()
			// Waits until all verdicts and answers have expired, to include late
			// effects.
			time.Sleep(verdictTTL + linger)
			v.close()
			violation = v.violation()
			require.Empty(t, v.attempts, "attempts are left over")
			require.True(t, v.Idle(), "slots or answers are left over")
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// violation describes a violated guarantee, or returns "" if there is none.
func (v *verdictRecorder) violation() string {
	for attempt := range v.notRun {
		if n := v.backend.runs(attempt); n > 0 {
			return fmt.Sprintf("%s was said not to have run, and ran %d times", attempt, n)
		}
	}
	for attempt, n := range v.backend.runsByAttempt {
		if n > 1 {
			return fmt.Sprintf("%s ran %d times", attempt, n)
		}
	}
	for key, n := range v.backend.runsByKey {
		if key != "" && n > 1 {
			return fmt.Sprintf("the call of %s ran %d times", key, n)
		}
	}
	return ""
}

// step is one operation of an interleaving.
type step struct {
	kind    int
	attempt string
	key     string
	timeout time.Duration
	delay   time.Duration
	// wait is the time before the next step. If it is negative, the next step
	// follows at once.
	wait time.Duration
}

func drawStep(t *rapid.T) step {
	attempt := rapid.IntRange(1, 6).Draw(t, "attempt")
	key := ""
	if attempt > 3 {
		key = fmt.Sprint("k", attempt%2)
	}
	millis := func(name string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	return step{
		kind: rapid.IntRange(0, 8).Draw(t, "kind"), attempt: fmt.Sprint("r.", attempt), key: key,
		timeout: millis("timeout", 1, 400), delay: millis("took", 0, 300), wait: millis("wait", -1, 100),
	}
}

func (s step) apply(t *testing.T, v *verdictRecorder) {
	switch s.kind {
	default:
		offer := newOffer(s.attempt, s.key, s.timeout)
		offer.Eager, offer.Hedge = s.kind == 1, s.kind == 2
		// Kind 3 keeps the initial generation, which is stale after a change.
		if s.kind != 3 {
			offer.Generation = v.generation()
		}
		v.offer(t, offer)
	case 4:
		v.cancelAttempt(t, s.attempt)
	case 5:
		v.backend.configure(s.delay, false)
	case 6:
		v.backend.configure(s.delay, true)
	case 7:
		v.board.Drain().Update(func(d *clemboard.Drain) *clemboard.Drain { return d.WithReason("test", !d.Active()) })
	case 8:
		v.setGeneration(v.generation() + 1)
	}
}

// TestDuplicateAfterVerdictExpired offers an attempt again whose verdict has
// expired while its answer is still buffered. The work ran, so the refusal must
// not say NotRun.
func TestDuplicateAfterVerdictExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.close()
		verdict, err := f.Offer(t.Context(), newOffer("r.1", "", time.Minute))
		require.NoError(t, err)
		require.Nil(t, verdict.GetRefusal())
		f.Wait()
		f.mu.Lock()
		clear(f.attempts)
		f.mu.Unlock()
		verdict, err = f.Offer(t.Context(), newOffer("r.1", "", time.Minute))
		require.NoError(t, err)
		require.Equal(t, "conflict", verdict.GetRefusal().GetKind())
		require.False(t, verdict.GetRefusal().GetNotRun())
		require.Equal(t, 1, f.backend.runs("r.1"))
	})
}

// TestIdleAfterRefusal checks that a call that is refused for lack of a claim
// leaves nothing behind that a graceful shutdown would wait for.
func TestIdleAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.close()
		f.current.Store(nil)
		verdict, err := f.Offer(t.Context(), newOffer("r.1", "k1", time.Minute))
		require.NoError(t, err)
		require.True(t, verdict.GetRefusal().GetNotRun())
		require.True(t, f.Idle())
	})
}

// TestLargeAnswer checks that an answer that exceeds the buffer ends as too
// large, and not as not run.
func TestLargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.close()
		f.backend.body = make([]byte, buffer+1)
		_, err := f.Offer(t.Context(), newOffer("r.1", "", time.Minute))
		require.NoError(t, err)
		var end *clemwire.End
		require.NoError(t, f.Fetch(t.Context(), &clemwire.Fetch{Request: "r", Attempt: "r.1", Organisation: "cribs"}, func(frame *clemwire.Frame) error {
			require.Empty(t, frame.GetData())
			end = frame.GetEnd()
			return nil
		}))
		require.Equal(t, "too_large", end.GetRefusal().GetKind())
		require.False(t, end.GetRefusal().GetNotRun())
	})
}

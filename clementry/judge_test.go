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

// What a sidecar of the property test does with one attempt.
const (
	refuses     = iota // says not run
	refusesLate        // says not run after a wait
	loses              // gives no verdict and does not run it
	runsUnseen         // gives no verdict and runs it
	dies               // gives no verdict at all until the caller stops waiting, and runs it
	handsBack          // accepts it and ends the answer with a refusal as not run
	cuts               // runs it and cuts the answer
	fails              // runs it and answers 500
	answers            // runs it and answers
	deeds
)

// fates are sidecars that treat each attempt by a drawn list. ran is set once
// any attempt may have reached a backend server.
type fates struct {
	mu    sync.Mutex
	deeds []int
	fate  map[string]int
	ran   bool
}

func (f *fates) next(attempt string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	deed := refuses
	if len(f.deeds) > 0 {
		deed, f.deeds = f.deeds[0], f.deeds[1:]
	}
	f.fate[attempt] = deed
	f.ran = f.ran || deed >= runsUnseen && deed != handsBack
	return deed
}

func (f *fates) of(attempt string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fate[attempt]
}

func (f *fates) offer(ctx context.Context, offer *clemwire.Offer) (*clemwire.Verdict, error) {
	refusal := clementineturn.Refuse(clementineturn.KindOverloaded, "full").Refusal()
	switch f.next(offer.GetAttempt()) {
	case refuses:
		return &clemwire.Verdict{Refusal: refusal}, nil
	case refusesLate:
		time.Sleep(time.Second)
		return &clemwire.Verdict{Refusal: refusal}, nil
	case loses, runsUnseen:
		return nil, clementineturn.Errorf(clementineturn.KindUnknown, "connection lost")
	case dies:
		<-ctx.Done()
		return nil, clementineturn.Errorf(clementineturn.KindUnknown, "no verdict: %w", ctx.Err())
	}
	return &clemwire.Verdict{}, nil
}

func (f *fates) frames(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
	return script(func(fetch *clemwire.Fetch) []*clemwire.Frame {
		frames := whole(fetch, "application/json", []string{"{", "}"})
		switch f.of(fetch.GetAttempt()) {
		case handsBack:
			frames = frames[:1]
			frames[0].Start, frames[0].End = nil, &clemwire.End{Refusal: clementineturn.Refuse(clementineturn.KindUnavailable, "no connection").Refusal()}
		case cuts:
			frames = frames[:2]
		case fails:
			frames[0].Start.Status = http.StatusInternalServerError
		}
		return frames
	})(ctx, fetch, handler)
}

// TestNotRunIsTrue draws what sidecars do with the attempts of one request:
// an error with not_run means that no attempt of it may have run.
func TestNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &fates{deeds: rapid.SliceOfN(rapid.IntRange(0, deeds-1), 0, 8).Draw(rt, "deeds"), fate: map[string]int{}}
		call := rapid.Bool().Draw(rt, "at most once")
		var body openAIError
		var code int
		synctest.Test(t, func(t *testing.T) {
			sidecars := make([]*fakeSidecar, 3)
			for i := range sidecars {
				sidecars[i] = &fakeSidecar{offer: f.offer, frames: f.frames}
			}
			path, header := chatPath, map[string]string{}
			if call {
				path, header[headerKey] = servicePath, "k1"
			}
			got := ask(newEntry(sidecars...), path, plain, header)
			code = got.Code
			require.NoError(t, json.Unmarshal(got.Body.Bytes(), &body))
		})
		if code != http.StatusOK && body.Error.NotRun && f.ran {
			rt.Fatalf("%s: %s is said not to have run: %v", body.Error.Code, body.Error.Message, f.fate)
		}
		if code == http.StatusOK && !f.ran {
			rt.Fatalf("an answer of nothing that ran: %v", f.fate)
		}
	})
}

package clemfault

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	answerTokens = 12
	tokenTime    = 20 * time.Millisecond
	callTime     = 40 * time.Millisecond
)

// backend is a fake engine or service. It outlives its sidecar.
type backend struct {
	*world
	name string

	mu sync.Mutex
	// seen holds the requests that reached the backend, runs the calls by key.
	seen map[string]int
	runs map[string]int
	// running counts the requests under way, peak is their highest number.
	running int
	peak    int
	down    time.Time
	reset   chan struct{}
}

func newBackend(w *world, name string) *backend {
	return &backend{world: w, name: name, seen: map[string]int{}, runs: map[string]int{}, reset: make(chan struct{})}
}

// drop makes the backend lose its work and refuse more for a time.
func (b *backend) drop(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = time.Now().Add(d)
	close(b.reset)
	b.reset = make(chan struct{})
}

// accept counts a request and returns the channel that ends its connection.
func (b *backend) accept(offer *clemwire.Offer) (<-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.down) {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "connection refused")
	}
	b.seen[offer.GetRequest()]++
	b.running++
	b.peak = max(b.peak, b.running)
	if offer.GetKey() != "" {
		b.runs[offer.GetKey()]++
	}
	return b.reset, nil
}

func (b *backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// nodeBackend is the backend as one incarnation of its sidecar reaches it.
type nodeBackend struct {
	*node
	backend *backend
}

// Order implements clementineturn.Backend.
func (b *nodeBackend) Order(context.Context, *clemwire.Pool, uint64) error { return nil }

// Run implements clementineturn.Backend.
func (b *nodeBackend) Run(ctx context.Context, offer *clemwire.Offer, sink clementineturn.Sink) error {
	b.at(StepDispatch, b.host.GetName())
	if !b.breathe() {
		return errReset(true)
	}
	reset, err := b.backend.accept(offer)
	if err != nil {
		return err
	}
	defer b.backend.release()
	// The connection ends with the sidecar, the backend's restart or the context.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-reset:
		case <-b.ctx.Done():
		case <-ctx.Done():
		}
		cancel(clementineturn.Errorf(clementineturn.KindCut, "connection reset"))
	}()
	if offer.GetService() == "" {
		return b.stream(ctx, offer, sink)
	}
	return b.answer(ctx, offer, sink)
}

func (b *nodeBackend) stream(ctx context.Context, offer *clemwire.Offer, sink clementineturn.Sink) error {
	if err := sink.Start(&clemwire.Start{Status: 200, Media: "text/event-stream"}); err != nil {
		return err
	}
	for i, event := range events(string(offer.GetBody())) {
		if !rest(ctx, tokenTime) || !b.breathe() {
			return context.Cause(ctx)
		}
		switch i {
		case 1:
			b.at(StepFirst, b.host.GetName())
		case answerTokens / 2:
			b.at(StepMiddle, b.host.GetName())
		case answerTokens - 1:
			b.at(StepRan, b.host.GetName())
		}
		if !b.breathe() {
			return context.Cause(ctx)
		}
		if err := sink.Data([]byte(event)); err != nil {
			return err
		}
	}
	return nil
}

func (b *nodeBackend) answer(ctx context.Context, offer *clemwire.Offer, sink clementineturn.Sink) error {
	if !rest(ctx, callTime) {
		return context.Cause(ctx)
	}
	b.at(StepRan, b.host.GetName())
	if !b.breathe() || ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if err := sink.Start(&clemwire.Start{Status: 200, Media: "application/json"}); err != nil {
		return err
	}
	answer := callAnswer(offer.GetKey())
	half := len(answer) / 2
	if err := sink.Data([]byte(answer[:half])); err != nil {
		return err
	}
	b.at(StepHalf, b.host.GetName())
	if !rest(ctx, callTime) || !b.breathe() {
		return context.Cause(ctx)
	}
	return sink.Data([]byte(answer[half:]))
}

func callAnswer(key string) string { return fmt.Sprintf(`{"done":%q}`, key) }

// events returns the answer to a chat, the same from every engine.
func events(body string) []string {
	var all []string
	for i := range answerTokens {
		all = append(all, fmt.Sprintf("data: {\"token\":\"%d of %d\"}\n\n", i, len(body)))
	}
	return append(all, "data: [DONE]\n\n")
}

// wholeChat is what a caller must hold at the end.
func wholeChat(body string) string { return strings.Join(events(body), "") }

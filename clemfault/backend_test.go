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
	answerEvents  = 12
	eventInterval = 20 * time.Millisecond
	callDelay     = 40 * time.Millisecond
)

// backend is a fake engine or service. It keeps running when its sidecar restarts.
type backend struct {
	*fleet
	name string

	mu sync.Mutex
	// requestCounts counts the requests that reached the backend by request ID,
	// runCounts the calls by idempotency key.
	requestCounts map[string]int
	runCounts     map[string]int
	// activeRequests is the number of requests in progress, peakRequests its
	// maximum so far.
	activeRequests int
	peakRequests   int
	downUntil      time.Time
	reset          chan struct{}
}

func newBackend(f *fleet, name string) *backend {
	return &backend{fleet: f, name: name, requestCounts: map[string]int{}, runCounts: map[string]int{}, reset: make(chan struct{})}
}

// fail makes the backend abort its requests and refuse new ones for the given time.
func (b *backend) fail(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.downUntil = time.Now().Add(d)
	close(b.reset)
	b.reset = make(chan struct{})
}

// accept counts a request and returns the channel that ends its connection.
func (b *backend) accept(offer *clemwire.Offer) (<-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.downUntil) {
		return nil, clementineturn.Refuse(clementineturn.KindUnavailable, "connection refused")
	}
	b.requestCounts[offer.GetRequest()]++
	b.activeRequests++
	b.peakRequests = max(b.peakRequests, b.activeRequests)
	if offer.GetKey() != "" {
		b.runCounts[offer.GetKey()]++
	}
	return b.reset, nil
}

func (b *backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activeRequests--
}

// nodeBackend is the backend as seen by one incarnation of its sidecar.
type nodeBackend struct {
	*node
	backend *backend
}

// Order implements clementineturn.Backend.
func (b *nodeBackend) Order(context.Context, *clemwire.Pool, uint64) error { return nil }

// Run implements clementineturn.Backend.
func (b *nodeBackend) Run(ctx context.Context, offer *clemwire.Offer, sink clementineturn.Sink) error {
	b.reachStep(StepDispatch, b.host.GetName())
	if !b.awaitThaw() {
		return connectionError(true)
	}
	reset, err := b.backend.accept(offer)
	if err != nil {
		return err
	}
	defer b.backend.release()
	// The connection is reset when the sidecar dies, when the backend restarts or
	// when the context ends.
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
		if !sleep(ctx, eventInterval) || !b.awaitThaw() {
			return context.Cause(ctx)
		}
		switch i {
		case 1:
			b.reachStep(StepFirstEvent, b.host.GetName())
		case answerEvents / 2:
			b.reachStep(StepMidStream, b.host.GetName())
		case answerEvents - 1:
			b.reachStep(StepRunDone, b.host.GetName())
		}
		if !b.awaitThaw() {
			return context.Cause(ctx)
		}
		if err := sink.Data([]byte(event)); err != nil {
			return err
		}
	}
	return nil
}

func (b *nodeBackend) answer(ctx context.Context, offer *clemwire.Offer, sink clementineturn.Sink) error {
	if !sleep(ctx, callDelay) {
		return context.Cause(ctx)
	}
	b.reachStep(StepRunDone, b.host.GetName())
	if !b.awaitThaw() || ctx.Err() != nil {
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
	b.reachStep(StepHalfAnswer, b.host.GetName())
	if !sleep(ctx, callDelay) || !b.awaitThaw() {
		return context.Cause(ctx)
	}
	return sink.Data([]byte(answer[half:]))
}

func callAnswer(key string) string { return fmt.Sprintf(`{"done":%q}`, key) }

// events returns the events of the answer to a chat, which are the same from every
// engine.
func events(body string) []string {
	var all []string
	for i := range answerEvents {
		all = append(all, fmt.Sprintf("data: {\"token\":\"%d of %d\"}\n\n", i, len(body)))
	}
	return append(all, "data: [DONE]\n\n")
}

// wholeChat returns the complete answer to a chat.
func wholeChat(body string) string { return strings.Join(events(body), "") }

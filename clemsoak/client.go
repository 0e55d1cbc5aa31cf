package clemsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/clementineturn/clementineturn/clemstandin"
)

const (
	// thinkTime is the mean time between two requests of a client, slowThinkTime the same
	// for a client that sends slow calls.
	thinkTime     = 60 * time.Millisecond
	slowThinkTime = 2 * time.Second
	// clientsPerSlowClient is the number of clients for each one that sends slow calls,
	// which come in addition.
	clientsPerSlowClient = 2
	// shortTimeoutShare is the share of requests whose client disconnects early,
	// after shortTimeout.
	shortTimeoutShare = 0.05
	shortTimeout      = 60 * time.Millisecond
	// maxRetryDelayShare is the largest part of its timeout for which a client
	// waits as a Retry-After header asks.
	maxRetryDelayShare = 1.0 / 3
	// chats is the number of chats that clients continue.
	chats = 40
	// sharedTokens and chatTokens are the sizes of the parts of a prompt.
	sharedTokens, chatTokens = 2000, 300
	// probeInterval is the interval between two probes of an entry.
	probeInterval = 80 * time.Millisecond
	// olderVersionShare is the share of probes that ask for an older version,
	// at most maxVersionAge versions before the newest.
	olderVersionShare = 0.3
	maxVersionAge     = 6
	// maxTakeUps is how often a client takes a stream up that has broken off, after takeUpDelay.
	maxTakeUps  = 2
	takeUpDelay = 30 * time.Millisecond
)

// client sends requests over connections that it reuses as long as they last.
type client struct {
	soak *Soak
	// isSlow is set if the client sends slow calls and no others.
	isSlow       bool
	number       int
	requestCount int
	organisation string
	rng          *rand.Rand
	http         *http.Client
	// entry is the entry that the connection leads to.
	entry atomic.Pointer[front]
}

func newClient(s *Soak, number int) *client {
	c := &client{soak: s, number: number, organisation: organisation(number % organisations), rng: rand.New(rand.NewPCG(s.config.Seed, 1000+uint64(number)))}
	dialed := number
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true,
		DialContext: s.dialTo(func() int { dialed++; return dialed }, func(f *front) { c.entry.Store(f) }),
	}
	c.http = &http.Client{Transport: transport}
	return c
}

func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	pause := thinkTime
	if c.isSlow {
		pause = slowThinkTime
	}
	for sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(pause))) {
		r := c.nextRequest()
		response := c.send(ctx, r)
		for n := 1; n <= maxTakeUps && c.mayTakeUp(r, response); n++ {
			sleep(ctx, takeUpDelay)
			r = r.takeUp(n)
			response = c.send(ctx, r)
		}
		if response.RetryAfter > 0 {
			sleep(ctx, min(response.RetryAfter, time.Duration(maxRetryDelayShare*float64(r.kind.timeout()))))
		}
	}
}

// send sends a request and checks its response.
func (c *client) send(ctx context.Context, r *sentRequest) clemstandin.ClientResponse {
	c.soak.observer.recordSent(r)
	start := time.Now()
	// A request in progress is completed, so that its response can be checked.
	response := r.call.Do(context.WithoutCancel(ctx), c.http, host)
	c.soak.observer.checkResponse(r, response)
	c.checkShutdown(r, response, start)
	return response
}

// mayTakeUp reports whether the client takes up the stream: it has some events, and its
// connection broke or the take-up was refused.
func (c *client) mayTakeUp(r *sentRequest, response clemstandin.ClientResponse) bool {
	return r.kind == kindResumableStream && r.stream.events > 0 && r.stream.events < r.kind.events() && r.call.Timeout != shortTimeout &&
		(response.Err != nil || impliesNotRun(response.Status))
}

// takeUp returns the client's nth request for the rest of the stream.
func (r *sentRequest) takeUp(n int) *sentRequest {
	next := &sentRequest{call: r.call, organisation: r.organisation, kind: r.kind, sentAt: time.Now(), entry: r.entry, stream: r.stream}
	if r.call.ResumedID == "" {
		next.call.ResumedID = r.call.RequestID
	}
	next.call.RequestID = fmt.Sprintf("%s-%d", next.call.ResumedID, n)
	next.call.LastEventID = fmt.Sprint(r.stream.events)
	return next
}

// nextRequest returns a random request.
func (c *client) nextRequest() *sentRequest {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	position, k := c.rng.IntN(total), kindUnsafe
	for position >= kinds[k].weight {
		position -= kinds[k].weight
		k++
	}
	if c.isSlow {
		k = kindSlow
	}
	c.requestCount++
	id := fmt.Sprintf("%x-%d-%d", c.soak.config.Seed, c.number, c.requestCount)
	request := clemstandin.ClientRequest{
		RequestID: id, Host: host, Path: fmt.Sprintf("%s%d%%2Fx?n=%d", kinds[k].prefix, c.number, c.requestCount), APIKey: "key-" + c.organisation,
		Body: "body of " + id, Timeout: k.timeout(),
	}
	if c.rng.Float64() < shortTimeoutShare {
		request.Timeout = shortTimeout
	}
	if k.events() > 0 {
		chat := c.rng.IntN(chats)
		request.PromptPrefix = fmt.Sprintf("%x:%d,%x:%d,%x:%d", 1+chat%3, sharedTokens, 100+chat, chatTokens, c.rng.Uint32(), chatTokens)
		request.TokenCounts = fmt.Sprintf("%d,%d", sharedTokens+2*chatTokens, 8*k.events())
	}
	return &sentRequest{call: request, organisation: c.organisation, kind: k, sentAt: time.Now(), entry: c.entry.Load, stream: &receivedStream{}}
}

// checkShutdown checks that an entry that is shutting down responded to a request
// that was run, unless a fault of the entry or of the server explains the missing
// response. Faults of the store explain none.
func (c *client) checkShutdown(r *sentRequest, response clemstandin.ClientResponse, start time.Time) {
	f := c.entry.Load()
	stopRequested := time.Unix(0, f.lastStopRequest.Load())
	span := time.Since(start) + minQuietTime
	if r.kind.events() > 0 || time.Since(stopRequested) > time.Duration(bounds.GracePeriodS)*time.Second || time.Since(start) >= r.call.Timeout ||
		!f.isQuietFor(span) || start.Before(stopRequested) {
		return
	}
	server := c.soak.observer.serverOf(r.call.RequestID)
	if server != "" && !c.soak.env.isServerQuietFor(server, span) {
		return
	}
	isAnswered := response.Status != 0 && response.Status != http.StatusBadGateway
	c.soak.observer.check(PromiseGracefulShutdown, isAnswered || server == "",
		"%s was run by %s, and %s, which leaves, gave no answer (status %d): %v", r.call.RequestID, server, f.name, response.Status, response.Err)
}

// prober checks which version of the configuration is in force at one entry.
type prober struct {
	soak         *Soak
	front        *front
	requestCount int
	rng          *rand.Rand
	http         *http.Client
	// highestVersion is the newest version that the incarnation has served.
	incarnation    int64
	highestVersion int
}

func newProber(s *Soak, f *front) *prober {
	return &prober{
		soak: s, front: f, rng: rand.New(rand.NewPCG(s.config.Seed, 2)),
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (p *prober) run(ctx context.Context) {
	for sleep(ctx, probeInterval) {
		p.probe(ctx)
		for name, version := range p.soak.env.revokedKeys() {
			p.probeRevokedKey(ctx, name, version)
			break
		}
	}
}

// request sends a request to the route of a version. It returns the incarnation
// that responded, or 0 if that is not certain.
func (p *prober) request(ctx context.Context, name string, version int) (status int, incarnation int64) {
	p.requestCount++
	id := fmt.Sprintf("%x-%s-%d", p.soak.config.Seed, p.front.name, p.requestCount)
	r := &sentRequest{
		call:         clemstandin.ClientRequest{RequestID: id, Host: host, Path: versionPath(version), APIKey: "key-" + name, Timeout: kindProbe.timeout()},
		organisation: name, kind: kindProbe, sentAt: time.Now(), entry: func() *front { return p.front },
	}
	before := p.front.incarnation.Load()
	p.soak.observer.recordSent(r)
	response := r.call.Do(context.WithoutCancel(ctx), p.http, p.front.address)
	p.soak.observer.checkResponse(r, response)
	if p.front.incarnation.Load() != before {
		before = 0
	}
	return response.Status, before
}

// isDue reports whether the entry must have applied a change that the store
// acknowledged at the given time.
func (p *prober) isDue(acknowledged time.Time) bool {
	return !p.soak.config.SkipTimeBounds && p.front.isQuietFor(minQuietTime) && p.soak.env.isDue(acknowledged, maxConfigurationDelay)
}

// probe requests the route of the newest version, or of an older one.
func (p *prober) probe(ctx context.Context) {
	newest, acknowledged := p.soak.env.current()
	version := newest
	if p.rng.Float64() < olderVersionShare {
		version = max(newest-1-p.rng.IntN(maxVersionAge), 1)
	}
	if now := p.front.incarnation.Load(); now != p.incarnation {
		p.incarnation, p.highestVersion = now, 0
	}
	o := p.soak.observer
	isDue := p.isDue(acknowledged)
	status, incarnation := p.request(ctx, probeOrganisation, version)
	if incarnation != p.incarnation {
		return
	}
	switch status {
	case http.StatusOK:
		o.check(PromiseNoRollback, version >= p.highestVersion, "%s serves version %d after %d", p.front.name, version, p.highestVersion)
		p.highestVersion = max(p.highestVersion, version)
		if isDue {
			o.check(PromiseTimelyConfiguration, version == newest, "%s serves version %d %s after %d was acknowledged", p.front.name, version, time.Since(acknowledged), newest)
		}
	case http.StatusNotFound:
		if after, _ := p.soak.env.current(); version == p.highestVersion && version == after {
			o.check(PromiseNoRollback, false, "%s has no version %d any more, the newest", p.front.name, version)
		}
		// A newer version may have been written meanwhile.
		if after, _ := p.soak.env.current(); isDue && version == newest && version == after {
			o.check(PromiseTimelyConfiguration, false, "%s has no version %d %s after it was acknowledged", p.front.name, version, time.Since(acknowledged))
		}
	}
}

// probeRevokedKey sends a request with a key that was removed in the given
// version.
func (p *prober) probeRevokedKey(ctx context.Context, name string, version int) {
	newest, acknowledged := p.soak.env.current()
	mustRefuse := p.highestVersion >= version || newest >= version && p.isDue(acknowledged)
	known := p.incarnation
	status, incarnation := p.request(ctx, name, newest)
	if mustRefuse && incarnation == known {
		p.soak.observer.check(PromiseKeyRevocation, status != http.StatusOK, "%s serves the key of %s, taken away with version %d", p.front.name, name, version)
	}
}

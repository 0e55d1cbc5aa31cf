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
	// thinkTime is the mean time between two requests of a client.
	thinkTime = 60 * time.Millisecond
	// hastyShare is the share of requests whose client leaves early.
	hastyShare    = 0.05
	hastyPatience = 60 * time.Millisecond
	// retryShare is the part of its time for which a client waits as told.
	retryShare = 1.0 / 3
	// chats is the number of chats that clients go on with.
	chats = 40
	// sharedTokens and chatTokens are the sizes of a prompt's parts.
	sharedTokens, chatTokens = 2000, 300
	// probePace is the pace of an entry's probes.
	probePace = 80 * time.Millisecond
	// olderShare is the share of probes that ask for an older version.
	olderShare = 0.3
	// olderVersions is how far back these go.
	olderVersions = 6
)

// client sends requests over connections that it keeps as long as they last.
type client struct {
	soak         *Soak
	number       int
	serial       int
	organisation string
	rng          *rand.Rand
	http         *http.Client
	// entry is the one that the connection leads to.
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
	for sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(thinkTime))) {
		a := c.next()
		c.soak.witness.sent(a)
		began := time.Now()
		// A request that was begun is finished: what the client would see is checked.
		answer := a.visit.Do(context.WithoutCancel(ctx), c.http, host)
		c.soak.witness.answered(a, answer)
		c.checkLeave(a, answer, began)
		if answer.Retry > 0 {
			sleep(ctx, min(answer.Retry, time.Duration(retryShare*float64(a.kind.patience()))))
		}
	}
}

// next draws the next request.
func (c *client) next() *asked {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	at, k := c.rng.IntN(total), kindOnce
	for at >= kinds[k].weight {
		at -= kinds[k].weight
		k++
	}
	c.serial++
	id := fmt.Sprintf("%x-%d-%d", c.soak.config.Seed, c.number, c.serial)
	visit := clemstandin.Visit{
		ID: id, Host: host, Path: fmt.Sprintf("%s%d%%2Fx?n=%d", kinds[k].prefix, c.number, c.serial), Key: "key-" + c.organisation,
		Body: "body of " + id, Patience: k.patience(),
	}
	if c.rng.Float64() < hastyShare {
		visit.Patience = hastyPatience
	}
	if k.events() > 0 {
		chat := c.rng.IntN(chats)
		visit.Parts = fmt.Sprintf("%x:%d,%x:%d,%x:%d", 1+chat%3, sharedTokens, 100+chat, chatTokens, c.rng.Uint32(), chatTokens)
		visit.Tokens = fmt.Sprintf("%d,%d", sharedTokens+2*chatTokens, 8*k.events())
	}
	return &asked{visit: visit, organisation: c.organisation, kind: k, at: time.Now()}
}

// checkLeave checks a request that got no answer from an entry that leaves, if
// nothing else explains it.
func (c *client) checkLeave(a *asked, answer clemstandin.Answer, began time.Time) {
	f := c.entry.Load()
	left := time.Unix(0, f.left.Load())
	span := time.Since(began) + touchTime
	if a.kind.events() > 0 || time.Since(left) > time.Duration(promises.GraceS)*time.Second || time.Since(began) >= a.visit.Patience ||
		!f.holds(span) || !c.soak.world.serversCalm.holds(span) || !c.soak.world.storeCalm.holds(span) || began.Before(left) {
		return
	}
	c.soak.witness.check(PromiseLeave, answer.Status != 0 || !c.soak.witness.ran(a.visit.ID),
		"%s was run, and %s, which leaves, gave no answer: %v", a.visit.ID, f.name, answer.Err)
}

// prober asks one entry which configuration is in force.
type prober struct {
	soak   *Soak
	front  *front
	serial int
	rng    *rand.Rand
	http   *http.Client
	// incarnation and highest are the newest version that the incarnation showed.
	incarnation int64
	highest     int
}

func newProber(s *Soak, f *front) *prober {
	return &prober{
		soak: s, front: f, rng: rand.New(rand.NewPCG(s.config.Seed, 2)),
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (p *prober) run(ctx context.Context) {
	for sleep(ctx, probePace) {
		p.probe(ctx)
		for name, version := range p.soak.world.guests() {
			p.probeGuest(ctx, name, version)
			break
		}
	}
}

// ask asks for the route of a version. It returns the incarnation that
// answered, or 0 if that is not certain.
func (p *prober) ask(ctx context.Context, name string, version int) (status int, incarnation int64) {
	p.serial++
	id := fmt.Sprintf("%x-%s-%d", p.soak.config.Seed, p.front.name, p.serial)
	a := &asked{
		visit:        clemstandin.Visit{ID: id, Host: host, Path: versionPath(version), Key: "key-" + name, Patience: kindProbe.patience()},
		organisation: name, kind: kindProbe, at: time.Now(),
	}
	before := p.front.incarnation.Load()
	p.soak.witness.sent(a)
	answer := a.visit.Do(context.WithoutCancel(ctx), p.http, p.front.address)
	p.soak.witness.answered(a, answer)
	if p.front.incarnation.Load() != before {
		before = 0
	}
	return answer.Status, before
}

// isDue reports whether the entry must act on what was acknowledged then.
func (p *prober) isDue(acknowledged time.Time) bool {
	return !p.soak.config.Hasty && p.front.holds(touchTime) && p.soak.world.isDue(acknowledged, configurationTime)
}

// probe asks for the newest version, or one that is older.
func (p *prober) probe(ctx context.Context) {
	newest, acknowledged := p.soak.world.current()
	version := newest
	if p.rng.Float64() < olderShare {
		version = max(newest-1-p.rng.IntN(olderVersions), 1)
	}
	if now := p.front.incarnation.Load(); now != p.incarnation {
		p.incarnation, p.highest = now, 0
	}
	w := p.soak.witness
	isDue := p.isDue(acknowledged)
	status, incarnation := p.ask(ctx, probeOrganisation, version)
	if incarnation != p.incarnation {
		return
	}
	switch status {
	case http.StatusOK:
		w.check(PromiseForward, version >= p.highest, "%s serves version %d after %d", p.front.name, version, p.highest)
		p.highest = max(p.highest, version)
		if isDue {
			w.check(PromisePrompt, version == newest, "%s serves version %d %s after %d was acknowledged", p.front.name, version, time.Since(acknowledged), newest)
		}
	case http.StatusNotFound:
		if after, _ := p.soak.world.current(); version == p.highest && version == after {
			w.check(PromiseForward, false, "%s has no version %d any more, the newest", p.front.name, version)
		}
		// A newer version may have come meanwhile.
		if after, _ := p.soak.world.current(); isDue && version == newest && version == after {
			w.check(PromisePrompt, false, "%s has no version %d %s after it was acknowledged", p.front.name, version, time.Since(acknowledged))
		}
	}
}

// probeGuest asks with a key that was taken away.
func (p *prober) probeGuest(ctx context.Context, name string, version int) {
	newest, acknowledged := p.soak.world.current()
	mustRefuse := p.highest >= version || newest >= version && p.isDue(acknowledged)
	known := p.incarnation
	status, incarnation := p.ask(ctx, name, newest)
	if mustRefuse && incarnation == known {
		p.soak.witness.check(PromiseRevoked, status != http.StatusOK, "%s serves the key of %s, taken away with version %d", p.front.name, name, version)
	}
}

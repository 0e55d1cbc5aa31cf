package clemsoak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/clementineturn/clementineturn/clemstandin"
)

// Promise is a property that the soak checks, using what clients, backend servers
// and the operator observe. Its value is its name in reports.
type Promise string

// The promises.
const (
	PromiseAtMostOnce          Promise = "at most once"
	PromiseTrueRefusals        Promise = "refusals are true"
	PromiseIntactResponses     Promise = "answers are whole and their own"
	PromiseStreamOrder         Promise = "streams are in order"
	PromiseOneVersion          Promise = "streams are of one software version"
	PromiseGenuineRequests     Promise = "servers run what clients asked"
	PromiseNoRollback          Promise = "configuration never goes back"
	PromiseTimelyConfiguration Promise = "configuration in time"
	PromiseKeyRevocation       Promise = "keys taken away"
	PromiseServerDrain         Promise = "leaving servers get nothing new"
	PromiseEvacuation          Promise = "evacuated data centres get nothing new"
	PromiseAnnouncedEnd        Promise = "announced ends of servers are heeded"
	PromiseRest                Promise = "resting servers are left alone"
	PromiseRetryBudget         Promise = "retry budget"
	PromiseLoadBound           Promise = "no server over the bound"
	PromiseFairness            Promise = "no organisation starves"
	PromiseRecovery            Promise = "recovery"
	PromiseNoCrash             Promise = "processes end only when asked"
	PromiseGracefulShutdown    Promise = "leaving entries lose nothing"
	PromiseColdServers         Promise = "cold servers are spared"
)

// Promises lists all promises in the order of reports.
var Promises = []Promise{
	PromiseAtMostOnce, PromiseTrueRefusals, PromiseIntactResponses, PromiseStreamOrder, PromiseOneVersion, PromiseGenuineRequests, PromiseNoRollback, PromiseTimelyConfiguration, PromiseKeyRevocation,
	PromiseServerDrain, PromiseEvacuation, PromiseAnnouncedEnd, PromiseRest, PromiseRetryBudget, PromiseLoadBound, PromiseFairness, PromiseRecovery, PromiseNoCrash, PromiseGracefulShutdown, PromiseColdServers,
}

const (
	// maxViolationsListed bounds the violations of one promise that are listed;
	// the others are only counted.
	maxViolationsListed = 5
	// The load bound is violated if at least minBoundViolations arrivals, and more
	// than maxBoundViolationShare of all, exceed it within boundWindow. These are
	// the deployment's rules.
	minBoundViolations     = 20
	maxBoundViolationShare = 0.03
	boundWindow            = 5 * time.Second
	// minFairShare is the smallest allowed ratio of the share of an organisation's
	// requests that are served to that of all requests. Organisations with fewer
	// than minFairRequests requests are not checked.
	minFairShare    = 0.25
	minFairRequests = 40
	// announcedEndTime is how long after an entry passed on that a server leaves a request
	// may be sent that still reaches the server from there.
	announcedEndTime = 2 * time.Second
	// restTime is how long after a refusal requests may reach a server that rests, and
	// maxRestArrivals the number of those that may later.
	restTime        = 500 * time.Millisecond
	maxRestArrivals = 2
	// minRecoveredShare is the share of requests that must be served after
	// recovery from the last fault.
	minRecoveredShare = 0.25
)

// sentRequest is a request that a client sent.
type sentRequest struct {
	call         clemstandin.ClientRequest
	organisation string
	kind         kind
	sentAt       time.Time
	// entry returns the entry that the request was sent to.
	entry func() *front
	// status is the status of the response, or 0 if there was none.
	status int
	// stream is what the client has of the stream, over all requests for it.
	stream *receivedStream
	served bool
}

// arrival is a request that reached a backend server.
type arrival struct {
	at      time.Time
	request string
	service string
	isRetry bool
}

// observer records what clients and servers observe, and checks the promises. It
// is safe for concurrent use.
type observer struct {
	mu         sync.Mutex
	requests   map[string]*sentRequest
	runs       map[string][]clemstandin.Run
	byStamp    map[string]clemstandin.Run
	arrivals   []arrival
	arrived    map[string]bool
	checked    map[Promise]int
	broken     map[Promise]int
	violations []string
	// boundChecks are the times of arrivals that were compared with the load
	// bound, boundViolations the times of those that exceeded it.
	boundChecks, boundViolations []time.Time
	announced, rested            map[pair]statement
}

// pair is a server, and one start of an entry that has a response of it.
type pair struct {
	server, entry string
	incarnation   int64
}

// statement is what a server stated in a response: that it leaves, or that it rests until
// a time.
type statement struct {
	at, until time.Time
	// arrivals counts the requests that the server got against it.
	arrivals int
}

// pairOf returns the pair of a request at a server. It returns false if the entry is not
// known. The caller holds mu.
func (o *observer) pairOf(request, server string) (pair, *sentRequest, bool) {
	r := o.requests[request]
	if r == nil || r.entry == nil {
		return pair{}, nil, false
	}
	f := r.entry()
	if f == nil {
		return pair{}, nil, false
	}
	return pair{server: server, entry: f.name, incarnation: f.incarnation.Load()}, r, true
}

// recordRest records that a server refused a request because it rests.
func (o *observer) recordRest(request, server string, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p, _, ok := o.pairOf(request, server); ok && !o.rested[p].until.Equal(until) {
		o.rested[p] = statement{at: time.Now(), until: until}
	}
}

// checkStatements checks an arrival at a server against what the server stated to the
// entry before. Rests are checked if isCalm is set; restGrace is the time within which
// the entry has the response.
func (o *observer) checkStatements(request, server string, isCalm bool, restGrace time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, r, ok := o.pairOf(request, server)
	if !ok {
		return
	}
	if s, isAnnounced := o.announced[p]; isAnnounced {
		o.checkLocked(PromiseAnnouncedEnd, !r.sentAt.After(s.at.Add(announcedEndTime)), "%s, sent %s after %s passed on that %s leaves, reaches it",
			request, r.sentAt.Sub(s.at), p.entry, server)
	}
	if s, isRested := o.rested[p]; isRested && isCalm && time.Since(s.at) > restGrace && time.Now().Before(s.until) {
		s.arrivals++
		o.rested[p] = s
		o.checkLocked(PromiseRest, s.arrivals <= maxRestArrivals, "%s reaches %s from %s %s after the server asked for no requests, the %d. one", request, server, p.entry, time.Since(s.at), s.arrivals)
	}
}

func newObserver() *observer {
	return &observer{
		requests: map[string]*sentRequest{}, runs: map[string][]clemstandin.Run{}, byStamp: map[string]clemstandin.Run{},
		announced: map[pair]statement{}, rested: map[pair]statement{},
		arrived: map[string]bool{}, checked: map[Promise]int{}, broken: map[Promise]int{},
	}
}

// check counts a check of a promise and records a violation if it does not hold.
func (o *observer) check(p Promise, holds bool, format string, values ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkLocked(p, holds, format, values...)
}

func (o *observer) checkLocked(p Promise, holds bool, format string, values ...any) {
	o.checked[p]++
	if holds {
		return
	}
	if o.broken[p]++; o.broken[p] <= maxViolationsListed {
		o.violations = append(o.violations, fmt.Sprintf("%s %s: %s", time.Now().Format("15:04:05.000"), p, fmt.Sprintf(format, values...)))
	}
}

// recordSent records a request before it is sent.
func (o *observer) recordSent(r *sentRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[r.call.RequestID] = r
}

// recordArrival records that a request reached the server that it was addressed
// to.
func (o *observer) recordArrival(request, service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals = append(o.arrivals, arrival{at: time.Now(), request: request, service: service, isRetry: o.arrived[request]})
	o.arrived[request] = true
}

// recordRunStart records and checks the start of a run.
func (o *observer) recordRunStart(run clemstandin.Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.requests[run.RequestID]
	o.checkLocked(PromiseGenuineRequests, r != nil, "server %s runs %s, which nobody sent", run.Server, run.RequestID)
	if r == nil {
		return
	}
	o.checkLocked(PromiseGenuineRequests, run.Organisation == r.organisation && !run.HasAPIKey,
		"server %s runs %s for %q instead of %q, key passed on: %t", run.Server, run.RequestID, run.Organisation, r.organisation, run.HasAPIKey)
	if !r.kind.isIdempotent() {
		earlier := o.runs[run.RequestID]
		o.checkLocked(PromiseAtMostOnce, len(earlier) == 0, "%s runs at %s after it ran at %v", run.RequestID, run.Server, servers(earlier))
	}
	o.runs[run.RequestID] = append(o.runs[run.RequestID], run)
	o.byStamp[run.Stamp] = run
}

func servers(runs []clemstandin.Run) []string {
	var names []string
	for _, run := range runs {
		names = append(names, run.Server)
	}
	return names
}

// recordRunEnd records the end of a run.
func (o *observer) recordRunEnd(run clemstandin.Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byStamp[run.Stamp] = run
}

// checkResponse checks the response that a client received.
func (o *observer) checkResponse(r *sentRequest, response clemstandin.ClientResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.status = response.Status
	run, isKnown := o.byStamp[response.Stamp]
	id := r.call.RequestID
	if response.Status == 0 {
		return
	}
	o.checkLocked(PromiseIntactResponses, response.RequestID == "" || response.RequestID == id, "%s got the answer of %s", id, response.RequestID)
	if p, _, ok := o.pairOf(id, run.Server); ok && isKnown && response.IsLeaving && o.announced[p].at.IsZero() {
		o.announced[p] = statement{at: time.Now()}
	}
	if response.Stamp != "" {
		o.checkLocked(PromiseIntactResponses, isKnown && run.RequestID == id, "%s got the signature %s of %q", id, response.Stamp, run.RequestID)
	}
	if response.Status == http.StatusOK {
		o.checkLocked(PromiseIntactResponses, response.Stamp != "", "%s got a success without a signature", id)
	}
	if r.kind.events() > 0 && response.Status == http.StatusOK {
		r.served = o.checkEvents(r, response)
		return
	}
	if response.Err != nil {
		return
	}
	r.served = response.Status == http.StatusOK
	if response.Stamp != "" {
		o.checkLocked(PromiseIntactResponses, run.Status == response.Status, "%s got status %d of a run that ended with %d", id, response.Status, run.Status)
		o.checkLocked(PromiseIntactResponses, run.Body == response.Body || r.kind.events() > 0, "%s got %d bytes that are not the server's %d", id, len(response.Body), len(run.Body))
	}
}

// recordLoad compares the requests in progress at a server on an arrival with the
// mean of its service.
func (o *observer) recordLoad(active int, mean, loadFactor, slack float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.boundChecks = append(o.boundChecks, now)
	if float64(active) > loadFactor*mean+slack {
		o.boundViolations = append(o.boundViolations, now)
	}
}

// serverOf returns the server of the request's last run, or "" if it was not run.
func (o *observer) serverOf(id string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	runs := o.runs[id]
	if len(runs) == 0 {
		return ""
	}
	return runs[len(runs)-1].Server
}

// checkTotals checks the promises that can only be judged after the run. Service
// must have recovered by quietFrom.
func (o *observer) checkTotals(bounds clemstandin.FrontBounds, quietFrom time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	served, all := map[string]int{}, map[string]int{}
	afterQuiet, servedAfterQuiet := 0, 0
	for _, r := range o.requests {
		if impliesNotRun(r.status) && !r.kind.isIdempotent() {
			o.checkLocked(PromiseTrueRefusals, len(o.runs[r.call.RequestID]) == 0, "%s got %d and ran at %v", r.call.RequestID, r.status, servers(o.runs[r.call.RequestID]))
		}
		if r.kind == kindProbe {
			continue
		}
		all[r.organisation]++
		if r.sentAt.After(quietFrom) {
			afterQuiet++
		}
		if r.served {
			served[r.organisation]++
			if r.sentAt.After(quietFrom) {
				servedAfterQuiet++
			}
		}
	}
	o.checkLocked(PromiseRecovery, afterQuiet > 0 && float64(servedAfterQuiet) >= minRecoveredShare*float64(afterQuiet), "%d of %d requests are served after the last fault", servedAfterQuiet, afterQuiet)
	o.checkFairness(served, all)
	o.checkBudget(bounds)
	o.checkBound()
}

// checkBound checks each window that ends with an arrival over the load bound.
func (o *observer) checkBound() {
	o.checked[PromiseLoadBound] += len(o.boundChecks) - len(o.boundViolations)
	for _, end := range o.boundViolations {
		n, all := countWithin(o.boundViolations, end.Add(-boundWindow), end), countWithin(o.boundChecks, end.Add(-boundWindow), end)
		o.checkLocked(PromiseLoadBound, n < minBoundViolations || float64(n) <= maxBoundViolationShare*float64(all), "%d of %d arrivals in %s over the bound", n, all, boundWindow)
	}
}

func (o *observer) checkFairness(served, all map[string]int) {
	totalServed, total := 0, 0
	for organisation, n := range all {
		total, totalServed = total+n, totalServed+served[organisation]
	}
	for _, organisation := range slices.Sorted(maps.Keys(all)) {
		if n := all[organisation]; n >= minFairRequests {
			share, mean := float64(served[organisation])/float64(n), float64(totalServed)/float64(total)
			o.checkLocked(PromiseFairness, share >= minFairShare*mean, "%s has %.2f of its requests served, all have %.2f", organisation, share, mean)
		}
	}
}

// checkBudget checks each window that ends with a retry, by the deployment's rule:
// the retries are compared with the requests of that window, of the window before
// it or of the one half a window before it, whichever has most.
func (o *observer) checkBudget(bounds clemstandin.FrontBounds) {
	window := time.Duration(bounds.RetryWindowS * float64(time.Second))
	sent := map[string][]time.Time{}
	for _, r := range o.requests {
		sent[r.kind.service()] = append(sent[r.kind.service()], r.sentAt)
	}
	retries := map[string][]time.Time{}
	for _, r := range o.arrivals {
		if r.isRetry {
			retries[r.service] = append(retries[r.service], r.at)
		}
	}
	for service, times := range retries {
		slices.SortFunc(sent[service], time.Time.Compare)
		for _, end := range times {
			begin := end.Add(-window)
			requests := 0
			for _, shift := range []time.Duration{0, window / 2, window} {
				requests = max(requests, countWithin(sent[service], begin.Add(-shift), end.Add(-shift)))
			}
			n := countWithin(times, begin, end)
			o.checkLocked(PromiseRetryBudget, float64(n) <= bounds.RetryRatio*float64(requests)+bounds.RetrySlack,
				"service %s got %d repeats beside %d requests in %s", service, n, requests, window)
		}
	}
}

// countWithin returns the number of times after begin and up to end. The times
// must be sorted.
func countWithin(times []time.Time, begin, end time.Time) int {
	first, _ := slices.BinarySearchFunc(times, begin, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, end.Add(1), time.Time.Compare)
	return last - first
}

// impliesNotRun reports whether a client concludes from the status that the
// request was not and will not be run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

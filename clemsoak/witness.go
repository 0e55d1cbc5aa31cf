package clemsoak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/clementineturn/clementineturn/clemstandin"
)

// Promise is what the soak checks, by what clients, backend servers and the
// operator see.
type Promise string

// The promises.
const (
	PromiseOnce     Promise = "at most once"
	PromiseRefusal  Promise = "refusals are true"
	PromiseWhole    Promise = "answers are whole and their own"
	PromiseOrder    Promise = "streams are in order"
	PromiseAsked    Promise = "servers run what clients asked"
	PromiseForward  Promise = "configuration never goes back"
	PromisePrompt   Promise = "configuration in time"
	PromiseRevoked  Promise = "keys taken away"
	PromiseDrained  Promise = "leaving servers get nothing new"
	PromiseBudget   Promise = "retry budget"
	PromiseBound    Promise = "no server over the bound"
	PromiseFair     Promise = "no organisation starves"
	PromiseRecovery Promise = "recovery"
	PromiseAlive    Promise = "processes end only when asked"
	PromiseLeave    Promise = "leaving entries lose nothing"
)

// Promises lists all promises in the order of reports.
var Promises = []Promise{
	PromiseOnce, PromiseRefusal, PromiseWhole, PromiseOrder, PromiseAsked, PromiseForward, PromisePrompt, PromiseRevoked,
	PromiseDrained, PromiseBudget, PromiseBound, PromiseFair, PromiseRecovery, PromiseAlive, PromiseLeave,
}

const (
	// mostShown bounds the violations of one promise that are kept in words.
	mostShown = 5
	// boundLeast and boundShare say how many arrivals over the bound break it,
	// as the deployment's rules do.
	boundLeast = 20
	boundShare = 0.03
	boundSpan  = 5 * time.Second
	// fairShare is the part of all requests' share served that an organisation
	// must have, and fairLeast the requests from which it is judged.
	fairShare = 0.25
	fairLeast = 40
	// recoveredShare is the part of requests that must be served after the last fault.
	recoveredShare = 0.25
)

// asked is a request that a client sent.
type asked struct {
	visit        clemstandin.Visit
	organisation string
	kind         kind
	// at is when it was sent.
	at time.Time
	// status is what the client got, 0 for none.
	status int
	served bool
}

type arrival struct {
	at       time.Time
	request  string
	service  string
	isRepeat bool
}

// witness keeps what clients and servers see, and checks the promises.
type witness struct {
	mu         sync.Mutex
	asked      map[string]*asked
	runs       map[string][]clemstandin.Run
	byStamp    map[string]clemstandin.Run
	arrivals   []arrival
	arrived    map[string]bool
	checked    map[Promise]int
	broken     map[Promise]int
	violations []string
	// bounded are the calm arrivals that were compared with the bound, over
	// those that broke it.
	bounded, over []time.Time
}

func newWitness() *witness {
	return &witness{
		asked: map[string]*asked{}, runs: map[string][]clemstandin.Run{}, byStamp: map[string]clemstandin.Run{},
		arrived: map[string]bool{}, checked: map[Promise]int{}, broken: map[Promise]int{},
	}
}

// check counts a check of a promise and notes it if it is broken.
func (w *witness) check(p Promise, holds bool, format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.verdict(p, holds, format, values...)
}

func (w *witness) verdict(p Promise, holds bool, format string, values ...any) {
	w.checked[p]++
	if holds {
		return
	}
	if w.broken[p]++; w.broken[p] <= mostShown {
		w.violations = append(w.violations, fmt.Sprintf("%s %s: %s", time.Now().Format("15:04:05.000"), p, fmt.Sprintf(format, values...)))
	}
}

// sent notes a request before it goes out.
func (w *witness) sent(a *asked) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked[a.visit.ID] = a
}

// arrival notes that a request reached a server that it was meant for.
func (w *witness) arrival(request, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, arrival{at: time.Now(), request: request, service: service, isRepeat: w.arrived[request]})
	w.arrived[request] = true
}

// began notes the start of a run.
func (w *witness) began(run clemstandin.Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.asked[run.Request]
	w.verdict(PromiseAsked, a != nil, "server %s runs %s, which nobody sent", run.Server, run.Request)
	if a == nil {
		return
	}
	w.verdict(PromiseAsked, run.Organisation == a.organisation && !run.HasKey,
		"server %s runs %s for %q instead of %q, key passed on: %t", run.Server, run.Request, run.Organisation, a.organisation, run.HasKey)
	if !a.kind.isIdempotent() {
		earlier := w.runs[run.Request]
		w.verdict(PromiseOnce, len(earlier) == 0, "%s runs at %s after it ran at %v", run.Request, run.Server, servers(earlier))
	}
	w.runs[run.Request] = append(w.runs[run.Request], run)
	w.byStamp[run.Stamp] = run
}

func servers(runs []clemstandin.Run) []string {
	var names []string
	for _, run := range runs {
		names = append(names, run.Server)
	}
	return names
}

// finished notes the end of a run.
func (w *witness) finished(run clemstandin.Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byStamp[run.Stamp] = run
}

// answered checks what a client got.
func (w *witness) answered(a *asked, answer clemstandin.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.status = answer.Status
	run, isSigned := w.byStamp[answer.Stamp]
	id := a.visit.ID
	if answer.Status == 0 {
		return
	}
	w.verdict(PromiseWhole, answer.ID == "" || answer.ID == id, "%s got the answer of %s", id, answer.ID)
	if answer.Stamp != "" {
		w.verdict(PromiseWhole, isSigned && run.Request == id, "%s got the signature %s of %q", id, answer.Stamp, run.Request)
	}
	if answer.Status == http.StatusOK {
		w.verdict(PromiseWhole, answer.Stamp != "", "%s got a success without a signature", id)
	}
	if a.kind.events() > 0 && answer.Status == http.StatusOK {
		a.served = w.checkEvents(a, answer)
		return
	}
	if answer.Err != nil {
		return
	}
	a.served = answer.Status == http.StatusOK
	if answer.Stamp != "" {
		w.verdict(PromiseWhole, run.Status == answer.Status, "%s got status %d of a run that ended with %d", id, answer.Status, run.Status)
		w.verdict(PromiseWhole, run.Body == answer.Body || a.kind.events() > 0, "%s got %d bytes that are not the server's %d", id, len(answer.Body), len(run.Body))
	}
}

// checkEvents checks a stream and reports whether it is complete.
func (w *witness) checkEvents(a *asked, answer clemstandin.Answer) bool {
	events := strings.Split(answer.Body, "\n\n")
	rest := events[len(events)-1]
	events = events[:len(events)-1]
	for n, event := range events {
		want := fmt.Sprintf("id: %d\ndata: %s %d", n+1, a.visit.ID, n+1)
		w.verdict(PromiseOrder, event == want, "%s got %q in place of %q", a.visit.ID, event, want)
	}
	isWhole := len(events) == a.kind.events() && rest == ""
	w.verdict(PromiseOrder, answer.Err != nil || isWhole, "%s ended as complete after %d of %d events and %q", a.visit.ID, len(events), a.kind.events(), rest)
	return answer.Err == nil && isWhole
}

// load notes an arrival at a server beside the mean of its service.
func (w *witness) load(held int, mean, multiple, floor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.bounded = append(w.bounded, now)
	if float64(held) > multiple*mean+floor {
		w.over = append(w.over, now)
	}
}

// ran reports whether a request has run.
func (w *witness) ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs[id]) > 0
}

// conclude checks what only the whole shows.
func (w *witness) conclude(promises clemstandin.Promises, quiet time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	served, all := map[string]int{}, map[string]int{}
	late, lateServed := 0, 0
	for _, a := range w.asked {
		if isPromise(a.status) && !a.kind.isIdempotent() {
			w.verdict(PromiseRefusal, len(w.runs[a.visit.ID]) == 0, "%s got %d and ran at %v", a.visit.ID, a.status, servers(w.runs[a.visit.ID]))
		}
		if a.kind == kindProbe {
			continue
		}
		all[a.organisation]++
		if a.at.After(quiet) {
			late++
		}
		if a.served {
			served[a.organisation]++
			if a.at.After(quiet) {
				lateServed++
			}
		}
	}
	w.verdict(PromiseRecovery, late > 0 && float64(lateServed) >= recoveredShare*float64(late), "%d of %d requests are served after the last fault", lateServed, late)
	w.checkFair(served, all)
	w.checkBudget(promises)
	w.checkBound()
}

// checkBound checks each span that ends with an arrival over the bound.
func (w *witness) checkBound() {
	w.checked[PromiseBound] += len(w.bounded) - len(w.over)
	for _, end := range w.over {
		n, all := within(w.over, end.Add(-boundSpan), end), within(w.bounded, end.Add(-boundSpan), end)
		w.verdict(PromiseBound, n < boundLeast || float64(n) <= boundShare*float64(all), "%d of %d arrivals in %s over the bound", n, all, boundSpan)
	}
}

func (w *witness) checkFair(served, all map[string]int) {
	totalServed, total := 0, 0
	for organisation, n := range all {
		total, totalServed = total+n, totalServed+served[organisation]
	}
	for _, organisation := range slices.Sorted(maps.Keys(all)) {
		if n := all[organisation]; n >= fairLeast {
			share, mean := float64(served[organisation])/float64(n), float64(totalServed)/float64(total)
			w.verdict(PromiseFair, share >= fairShare*mean, "%s has %.2f of its requests served, all have %.2f", organisation, share, mean)
		}
	}
}

// checkBudget checks each span that ends with a repeat, by the rule that the
// deployment states: the requests are those of the span, the one before it or
// the one half a span before it, whichever has most.
func (w *witness) checkBudget(promises clemstandin.Promises) {
	span := time.Duration(promises.RetryWindowS * float64(time.Second))
	sent := map[string][]time.Time{}
	for _, a := range w.asked {
		sent[a.kind.service()] = append(sent[a.kind.service()], a.at)
	}
	repeats := map[string][]time.Time{}
	for _, a := range w.arrivals {
		if a.isRepeat {
			repeats[a.service] = append(repeats[a.service], a.at)
		}
	}
	for service, times := range repeats {
		slices.SortFunc(sent[service], time.Time.Compare)
		for _, end := range times {
			begin := end.Add(-span)
			requests := 0
			for _, back := range []time.Duration{0, span / 2, span} {
				requests = max(requests, within(sent[service], begin.Add(-back), end.Add(-back)))
			}
			n := within(times, begin, end)
			w.verdict(PromiseBudget, float64(n) <= promises.RetryShare*float64(requests)+promises.RetrySlack,
				"service %s got %d repeats beside %d requests in %s", service, n, requests, span)
		}
	}
}

// within returns the number of sorted times after begin and up to end.
func within(times []time.Time, begin, end time.Time) int {
	first, _ := slices.BinarySearchFunc(times, begin, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, end.Add(1), time.Time.Compare)
	return last - first
}

// isPromise reports whether a status tells that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

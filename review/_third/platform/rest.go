package main

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// restTime is the time for which a server asks for nothing, and askTime how long it
	// turns requests away.
	restTime = 80 * time.Second
	askTime  = 300 * time.Millisecond
	// restSlack is the time after an answer from which on the rule counts, and maxEarly the
	// number of requests from each front that it allows.
	restSlack = 500 * time.Millisecond
	maxEarly  = 2
)

// restCutShort checks BUDGET for a server that turns requests away with 503 and
// Retry-After.
func restCutShort(w *world, hasTrouble bool) (int, error) {
	w.store.put("op", "config", manifest(firstVersion, apiKey))
	apps, err := w.startServices()
	if err != nil {
		return cannotRun, err
	}
	if err := w.startFronts(2); err != nil {
		return cannotRun, err
	}
	resting := apps[0]
	from := time.Now().Add(2 * time.Second)
	// turnedAway holds when the requests were answered 503, by id.
	turnedAway := map[string]time.Time{}
	resting.setHandler(func(out http.ResponseWriter, r *http.Request) {
		now := time.Now()
		if hasTrouble && now.After(from) && now.Before(from.Add(askTime)) {
			resting.mu.Lock()
			turnedAway[r.Header.Get("X-Request-Id")] = now
			resting.mu.Unlock()
			out.Header().Set("X-Not-Executed", "1")
			out.Header().Set("Retry-After", strconv.Itoa(int(restTime.Seconds())))
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(workTime)
		resting.answer(out, http.StatusOK, "done by "+resting.id)
	})
	stop := make(chan struct{})
	look := w.traffic(50*time.Millisecond, http.MethodGet, "/look/1", stop)
	time.Sleep(time.Until(from) + restTime)
	close(stop)
	requests := byID(<-look)

	// answered holds the first and the last answer with Retry-After for each front.
	first, last := map[string]time.Time{}, map[string]time.Time{}
	for id, at := range turnedAway {
		f := requests[id].front
		if first[f].IsZero() || at.Before(first[f]) {
			first[f] = at
		}
		if at.After(last[f]) {
			last[f] = at
		}
	}
	early := map[string]int{}
	for _, r := range resting.allRuns() {
		f := requests[r.id].front
		if last[f].IsZero() || r.at.Before(last[f].Add(restSlack)) || r.at.After(first[f].Add(restTime)) {
			continue
		}
		if early[f]++; early[f] == 1 {
			w.log("the first request from %s reaches %s %d ms after its last 503", f, resting.id, r.at.Sub(last[f]).Milliseconds())
		}
	}
	w.log("%d requests were turned away with Retry-After %v; too early came %v", len(turnedAway), restTime, early)
	isBroken := false
	for f, count := range early {
		if count > maxEarly {
			isBroken = true
			w.log("BUDGET: %d requests from %s reached %s before the end of the time that it asked for", count, f, resting.id)
		}
	}
	return verdict(isBroken), nil
}

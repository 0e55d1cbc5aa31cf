package main

import (
	"net/http"
	"time"
)

const (
	// failingOf20 of twenty requests that an application ran are answered with a failure.
	failingOf20 = 9
	soundTime   = 3 * time.Second
	failingTime = 4 * time.Second
)

// ranAndRefused checks REFUSED while the servers of an application fail a part of the
// requests that they ran with status 429. They do not state that they did not run them.
func ranAndRefused(w *world, hasTrouble bool) (int, error) {
	w.store.put("op", "config", manifest())
	apps, err := w.startServices()
	if err != nil {
		return cannotRun, err
	}
	if err := w.startFronts(2); err != nil {
		return cannotRun, err
	}
	began := time.Now()
	for _, s := range apps {
		count := 0
		s.setHandler(func(out http.ResponseWriter, _ *http.Request) {
			time.Sleep(workTime)
			s.mu.Lock()
			count++
			isFailing := hasTrouble && count%20 < failingOf20 && time.Since(began) > soundTime
			s.mu.Unlock()
			if isFailing {
				s.answer(out, http.StatusTooManyRequests, "too many orders")
				return
			}
			s.answer(out, http.StatusOK, "done by "+s.id)
		})
	}
	stop := make(chan struct{})
	reserve := w.traffic(40*time.Millisecond, http.MethodPost, "/reserve/1", stop)
	time.Sleep(soundTime + failingTime)
	close(stop)
	requests := <-reserve
	ran := map[string]run{}
	for _, s := range apps {
		for _, r := range s.allRuns() {
			ran[r.id] = r
		}
	}
	broken := 0
	for _, s := range requests {
		if r, hasRun := ran[s.id]; hasRun && promisesNotRun(s.status) {
			broken++
			w.log("REFUSED: %s ran at %s and was answered %d by %s", s.id, r.server, s.status, s.front)
		}
	}
	w.log("%d requests that may run once; %d of them ran and were refused", len(requests), broken)
	return verdict(broken > 0), nil
}

// promisesNotRun reports whether a status promises that the request has not run and never
// will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

package main

import (
	"net/http"
	"time"
)

// drainAfterRewind checks DRAIN after a drill. Once the store is stable again, a server
// reports that it drains, and goes on serving for some seconds.
func drainAfterRewind(w *world, hasTrouble bool) (int, error) {
	w.store.put("op", "config", manifest(firstVersion, apiKey))
	apps, err := w.startServices()
	if err != nil {
		return cannotRun, err
	}
	if err := w.startFronts(2); err != nil {
		return cannotRun, err
	}
	stop := make(chan struct{})
	reserve := w.traffic(40*time.Millisecond, http.MethodPost, "/reserve/1", stop)
	look := w.traffic(100*time.Millisecond, http.MethodGet, "/look/1", stop)
	time.Sleep(2 * time.Second)
	w.rewind(hasTrouble)
	w.store.takeCalls()
	time.Sleep(touch + settleTime)
	w.log("calls to the store since it is back: %v", w.store.takeCalls())

	leaving := apps[1]
	ack, ver := leaving.drain()
	w.log("%s drains, acknowledged at version %d", leaving.id, ver)
	time.Sleep(drainTimeout + 3*time.Second)
	leaving.exit()
	w.log("%s has ended, the store is at version %d", leaving.id, w.store.version())
	time.Sleep(time.Second)
	close(stop)

	requests := byID(<-reserve, <-look)
	bound := ack.Add(drainTimeout)
	late := 0
	for _, r := range leaving.allRuns() {
		if s := requests[r.id]; r.at.After(bound) && s.at.After(bound) {
			late++
			w.log("DRAIN: %s was sent to %s %d ms and reached %s %d ms after the acknowledgement", r.id, s.front, s.at.Sub(ack).Milliseconds(), leaving.id, r.at.Sub(ack).Milliseconds())
		}
	}
	w.log("%d requests; %d reached %s later than drain_timeout_ms after the acknowledgement", len(requests), late, leaving.id)
	return verdict(late > 0), nil
}

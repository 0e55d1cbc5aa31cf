package main

import (
	"net/http"
	"time"
)

// evacuationTime is evac_ms of the site.
const evacuationTime = 5 * time.Second

// evacuationAfterRewind checks EVAC after a drill. The operator evacuates a zone as soon as
// the store is back.
func evacuationAfterRewind(w *world, hasTrouble bool) (int, error) {
	w.zones = []string{"amman-a", "amman-b", "amman-c"}
	w.bounds = map[string]any{
		"touch_ms": 4000, "ack_ms": 6000, "catch_up_s": 6, "drain_timeout_ms": 3000, "config_ms": 3000, "outer_ms": 6000,
		"retry_budget_slack": 96, "cold_over": 1.5, "cold_slack": 5, "evac_ms": evacuationTime.Milliseconds(), "recover_s": 15, "pass_ms": 200,
	}
	w.store.put("op", "config", manifest(firstVersion, apiKey))
	apps, err := w.startServices()
	if err != nil {
		return cannotRun, err
	}
	if err := w.startFronts(12); err != nil {
		return cannotRun, err
	}
	stop := make(chan struct{})
	look := w.traffic(20*time.Millisecond, http.MethodGet, "/look/1", stop)
	time.Sleep(2 * time.Second)
	w.rewind(hasTrouble)

	evacuated := apps[1]
	ver := w.store.put("op", "evacuate/"+evacuated.zone, map[string]any{})
	ack := time.Now()
	w.log("zone %s is evacuated, acknowledged at version %d", evacuated.zone, ver)
	time.Sleep(evacuationTime + 8*time.Second)
	close(stop)

	requests := byID(<-look)
	bound := ack.Add(evacuationTime)
	late := 0
	for _, r := range evacuated.allRuns() {
		if r.at.After(bound) {
			late++
			w.log("EVAC: %s was sent to %s and reached %s in %s %d ms after the acknowledgement", r.id, requests[r.id].front, evacuated.id, evacuated.zone, r.at.Sub(ack).Milliseconds())
		}
	}
	w.log("%d requests; %d reached a server in %s later than evac_ms after the acknowledgement", len(requests), late, evacuated.zone)
	return verdict(late > 0), nil
}

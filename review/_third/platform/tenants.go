package main

import (
	"net/http"
	"time"
)

// unknownKey is a key that no manifest holds.
const unknownKey = "key-of-nobody"

// lastTenantRemoved checks ROUTE after a version of the manifest that removes the only
// tenant, and with it the only key.
func lastTenantRemoved(w *world, hasTrouble bool) (int, error) {
	w.store.put("op", "config", manifest(firstVersion, apiKey))
	apps, err := w.startServices()
	if err != nil {
		return cannotRun, err
	}
	if err := w.startFronts(2); err != nil {
		return cannotRun, err
	}
	client := newClient()
	for _, f := range w.fronts {
		if s := w.send(client, f, http.MethodPost, "/reserve/1", apiKey, 2*time.Second); s.status != http.StatusOK {
			return cannotRun, errNotServed
		}
	}
	if hasTrouble {
		w.log("the only tenant is removed, acknowledged at version %d", w.store.put("op", "config", manifest(firstVersion+2)))
	}
	time.Sleep(configTime + touch)
	var requests []sent
	for _, f := range w.fronts {
		for range 5 {
			requests = append(requests, w.send(client, f, http.MethodPost, "/reserve/1", unknownKey, 2*time.Second))
			if hasTrouble {
				requests = append(requests, w.send(client, f, http.MethodPost, "/reserve/1", apiKey, 2*time.Second))
			}
		}
	}
	ran := map[string]string{}
	for _, s := range apps {
		for _, r := range s.allRuns() {
			ran[r.id] = s.id
		}
	}
	unknown, dropped := 0, 0
	for _, s := range requests {
		server, hasRun := ran[s.id]
		switch {
		case !hasRun:
		case s.key == unknownKey:
			unknown++
			w.log("ROUTE: %s with a key that no manifest ever held ran at %s", s.id, server)
		default:
			dropped++
			w.log("CONFIG: %s with the dropped key ran at %s", s.id, server)
		}
	}
	w.log("%d requests; %d with a key that no manifest ever held ran, %d with the dropped key", len(requests), unknown, dropped)
	return verdict(unknown > 0), nil
}

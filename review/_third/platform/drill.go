package main

import "time"

const (
	// copyAge is how old the copy is from which the store comes back, awayTime how long the
	// store is away.
	copyAge  = 8 * time.Second
	awayTime = time.Second
	// settleTime is added to the time after which a machine is in touch again.
	settleTime = 200 * time.Millisecond
)

// rewind plays a drill: the store goes away and comes back from a copy that is copyAge old,
// and the operator writes its manifest again. Without trouble the same time passes.
func (w *world) rewind(hasTrouble bool) {
	copied := w.store.copy()
	w.log("the copy is made at version %d", copied.ver)
	time.Sleep(copyAge)
	if hasTrouble {
		w.log("the store goes away at version %d", w.store.version())
		w.store.leave()
	}
	time.Sleep(awayTime)
	if hasTrouble {
		w.store.comeBack(&copied)
		w.log("the store is back at version %d", w.store.version())
		w.store.put("op", "config", manifest(firstVersion, apiKey))
	}
}

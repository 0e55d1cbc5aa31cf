package clempool

import (
	"time"

	"github.com/clementineturn/clementineturn/clemwait"
)

// scarcityTTL is how long after the last request that waited or was refused a service
// counts as short of capacity. The same applies to the other conditions, so that each is
// reported once and not for each request.
const scarcityTTL = 5 * time.Second

// Scarcity is a change of what an entry knows of a scarce service.
type Scarcity uint8

// The changes that are reported to Config.OnScarcity.
const (
	// ScarcityBegan means that a request waits or was refused, the first in a while.
	ScarcityBegan Scarcity = iota
	// ScarcityEnded means that none did for scarcityTTL.
	ScarcityEnded
	// ScarcityQueueFull means that the waiting requests have reached their bound.
	ScarcityQueueFull
	// ScarcityIsolated means that most other entries do not report, so that the entry
	// keeps to its own share of the slots.
	ScarcityIsolated
	scarcityCount
)

// recordScarce records that a request waits or was refused, and whether the waiting
// requests have reached their bound.
func (d *Directory) recordScarce(svc *service, name string, isBound bool, view clemwait.View, now time.Time) {
	d.notifyScarcity(svc, name, ScarcityBegan, now)
	if isBound {
		d.notifyScarcity(svc, name, ScarcityQueueFull, now)
	}
	if view.IsIsolated {
		d.notifyScarcity(svc, name, ScarcityIsolated, now)
	}
}

// notifyScarcity calls Config.OnScarcity if the condition did not hold before.
func (d *Directory) notifyScarcity(svc *service, name string, condition Scarcity, now time.Time) {
	last := svc.scarcity[condition]
	svc.scarcity[condition] = now
	if d.config.OnScarcity != nil && (last.IsZero() || now.Sub(last) > scarcityTTL) {
		d.config.OnScarcity(name, condition, svc.wait.Len())
	}
}

// endScarcity reports the end of the shortage if it is over.
func (d *Directory) endScarcity(svc *service, name string, now time.Time) {
	began := svc.scarcity[ScarcityBegan]
	if began.IsZero() || now.Sub(began) <= scarcityTTL {
		return
	}
	svc.scarcity = [scarcityCount]time.Time{}
	if d.config.OnScarcity != nil {
		d.config.OnScarcity(name, ScarcityEnded, svc.wait.Len())
	}
}

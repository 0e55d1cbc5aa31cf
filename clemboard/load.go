package clemboard

import "time"

// LoadConfig is the configuration of a Load.
type LoadConfig struct {
	Servers         int
	TotalTokens     uint64
	MedianTokenTime time.Duration
	OldestReport    time.Time
}

// Load is the total load of a pool's servers, as last reported by the relay
// tree.
type Load struct {
	servers         int
	totalTokens     uint64
	medianTokenTime time.Duration
	oldestReport    time.Time
}

// NewLoad returns a Load with the given configuration.
func NewLoad(c LoadConfig) Load {
	return Load{servers: c.Servers, totalTokens: c.TotalTokens, medianTokenTime: c.MedianTokenTime, oldestReport: c.OldestReport}
}

// Servers returns the number of servers included.
func (l Load) Servers() int { return l.servers }

// TotalTokens returns the work in flight on all servers, in tokens.
func (l Load) TotalTokens() uint64 { return l.totalTokens }

// MedianTokenTime returns the median time per token of the pool's servers, or 0
// if unknown.
func (l Load) MedianTokenTime() time.Duration { return l.medianTokenTime }

// OldestReport returns the time of the oldest report included, on this
// process's clock.
func (l Load) OldestReport() time.Time { return l.oldestReport }

// Loads holds the load of each pool.
type Loads struct {
	byPool map[string]Load
}

// NewLoads returns the loads by pool name. The map must not be modified
// afterwards.
func NewLoads(pools map[string]Load) *Loads { return &Loads{byPool: pools} }

// Pool returns the load of a pool and whether it is known. In a nil Loads no
// load is known.
func (l *Loads) Pool(name string) (Load, bool) {
	if l == nil {
		return Load{}, false
	}
	load, ok := l.byPool[name]
	return load, ok
}

// Drain is the set of reasons for which a process is draining.
type Drain struct {
	reasons map[string]bool
}

// WithReason returns a copy with the reason set or cleared. A nil Drain has no
// reasons.
func (d *Drain) WithReason(reason string, on bool) *Drain {
	reasons := map[string]bool{}
	if d != nil {
		for r := range d.reasons {
			reasons[r] = true
		}
	}
	delete(reasons, reason)
	if on {
		reasons[reason] = true
	}
	return &Drain{reasons: reasons}
}

// Active reports whether the process is draining, for any reason.
func (d *Drain) Active() bool { return d != nil && len(d.reasons) > 0 }

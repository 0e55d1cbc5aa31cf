package clemboard

import "time"

// LoadConfig describes a Load to construct.
type LoadConfig struct {
	Servers int
	Total   uint64
	Median  time.Duration
	Time    time.Time
}

// Load is the sum of a pool's loads as the relay tree last told it.
type Load struct {
	servers int
	total   uint64
	median  time.Duration
	time    time.Time
}

// NewLoad returns the load that the configuration describes.
func NewLoad(c LoadConfig) Load {
	return Load{servers: c.Servers, total: c.Total, median: c.Median, time: c.Time}
}

// Servers returns the number of servers in the sum.
func (l Load) Servers() int { return l.servers }

// Total returns the work in flight on all servers, in tokens.
func (l Load) Total() uint64 { return l.total }

// Median returns the median time per token of the pool's servers, or 0 if unknown.
func (l Load) Median() time.Duration { return l.median }

// Time returns when the oldest report in the sum was made, on this process's clock.
func (l Load) Time() time.Time { return l.time }

// Loads holds the load of each pool.
type Loads struct {
	pools map[string]Load
}

// NewLoads returns the loads. The map must not be changed afterwards.
func NewLoads(pools map[string]Load) *Loads { return &Loads{pools: pools} }

// Pool returns the load of a pool and whether it is known. A nil Loads knows none.
func (l *Loads) Pool(name string) (Load, bool) {
	if l == nil {
		return Load{}, false
	}
	load, ok := l.pools[name]
	return load, ok
}

// Drain tells why a process takes no new work.
type Drain struct {
	reasons map[string]bool
}

// With returns a copy of the drain with the reason set or cleared. A nil Drain has no reasons.
func (d *Drain) With(reason string, on bool) *Drain {
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

// Active reports whether any reason stands.
func (d *Drain) Active() bool { return d != nil && len(d.reasons) > 0 }

package clemspread

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/clementineturn/clementineturn/clemevent"
)

// lateConfiguration is how long an entry knows of a newer configuration before it logs that
// it lacks it: several times what the store and a peer take to deliver one.
const lateConfiguration = time.Second

// configurationLag is what an entry knows of the configurations that peers have and it lacks.
type configurationLag struct {
	mu sync.Mutex
	// awaited is the first version above this entry's that a peer reported, at the time
	// since. newest is the highest one, and entry the peer that reported it.
	awaited, newest uint64
	since           time.Time
	entry           string
	// requests counts the requests for the document since then.
	requests int
	isLogged bool
}

// recordPeer records the version that a peer reports.
func (l *configurationLag) recordPeer(own, reported uint64, entry string, now time.Time) {
	if reported <= own {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.awaited <= own {
		l.awaited, l.newest, l.since, l.requests, l.isLogged = reported, 0, now, 0, false
	}
	if reported > l.newest {
		l.newest, l.entry = reported, entry
	}
}

// recordRequest records a request for the document to a peer.
func (l *configurationLag) recordRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
}

// duration returns for how long it has been known that an entry with the version lacks a
// newer one, or 0.
func (l *configurationLag) duration(own uint64, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.durationLocked(own, now)
}

// durationLocked is duration for callers that hold mu.
func (l *configurationLag) durationLocked(own uint64, now time.Time) time.Duration {
	if l.awaited <= own {
		return 0
	}
	return now.Sub(l.since)
}

// takeLate returns the fields of the event for a version that is late, once for each.
func (l *configurationLag) takeLate(own uint64, now time.Time) []zap.Field {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := l.durationLocked(own, now)
	if late < lateConfiguration || l.isLogged {
		return nil
	}
	l.isLogged = true
	return []zap.Field{
		zap.Uint64("version", own), zap.Uint64("awaited", l.awaited), zap.Uint64("newest", l.newest),
		zap.String("entry", l.entry), zap.Duration("late", late), zap.Int("requests", l.requests),
	}
}

// checkConfiguration logs that peers have a configuration that this entry lacks.
func (s *Syncer) checkConfiguration(now time.Time) {
	fields := s.lag.takeLate(s.config.Table.Version(), now)
	if fields == nil {
		return
	}
	s.mu.Lock()
	isStoreAvailable := s.storeRecovered == nil
	s.mu.Unlock()
	s.config.Events.Emit(clemevent.ConfigurationLate, append(fields, zap.Bool("store", isStoreAvailable), zap.Int("entries", s.EntryCount()))...)
}

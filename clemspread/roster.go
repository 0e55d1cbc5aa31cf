package clemspread

import (
	"slices"
	"sync"
	"time"

	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// silentTime is how long an entry that does not answer still counts as one
	// that takes part: longer than a restart, since it may serve all the while.
	silentTime = 10 * time.Second
	// entryPace is added to the pace for each entry, so that the bytes of an
	// entry's link grow less than the fleet. crowdPace bounds an entry's
	// exchanges with a large fleet.
	entryPace = 4 * time.Millisecond
	crowdPace = 8 * time.Millisecond
	// lostTime is how long after its last word an entry keeps its turn.
	lostTime = time.Second
	// forgetTime is how long after its last word the row of an entry is
	// removed; twice the time after it the entry is no longer called.
	forgetTime = 5 * time.Minute
	// calledTime is how long an entry waits for the calls of one with a lower
	// address before it calls itself.
	calledTime = 400 * time.Millisecond
	// silentPace is the pace of calls to an entry that does not answer.
	silentPace = time.Second
)

// roster holds the other entries by address.
type roster struct {
	own string

	mu      sync.Mutex
	entries map[string]*entry
	// joined are the addresses in the order in which they were first noted.
	joined []string
}

// held is what an entry last said it holds.
type held struct {
	version, view uint64
	// newer is when the entry first told of this version.
	newer time.Time
	// clock is the last time of its steady clock that it told.
	clock time.Duration
	// asks is set if it asked for the configuration's document, lacks if it
	// asked for the rows of backend servers that changed after its view.
	asks, lacks bool
}

type entry struct {
	// heard is when the entry last said something, added when it was named.
	heard, added time.Time
	called       time.Time
	isCalling    bool
	isLost       bool
	held
	// news is the number up to which the entry was told of kept parts, named
	// the number of joined entries up to which it was told of them.
	news  uint64
	named int
}

func newRoster(own string) *roster { return &roster{own: own, entries: map[string]*entry{}} }

// add notes an entry that somebody named.
func (r *roster) add(address string, now time.Time) {
	if address == "" || address == r.own {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[address] == nil {
		r.entries[address] = &entry{added: now}
		r.joined = append(r.joined, address)
	}
}

// isSilent notes an entry whose row was read, and reports whether it has not
// answered for so long that its row may go. One that lives writes it anew when
// it starts, and the others know it until then.
func (r *roster) isSilent(address string, now time.Time) bool {
	r.add(address, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[address]
	return e != nil && now.Sub(e.last()) > forgetTime
}

// last returns when the entry last said something, or was first named.
func (e *entry) last() time.Time {
	if e.added.After(e.heard) {
		return e.added
	}
	return e.heard
}

// heard notes what an entry said, and reports whether it was lost or new before.
func (r *roster) heard(share *clemwire.Share, now time.Time) (isBack bool) {
	r.add(share.GetAddress(), now)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[share.GetAddress()]
	if e == nil {
		return false
	}
	isBack = e.isLost || e.heard.IsZero()
	e.heard, e.isLost = now, false
	if e.version != share.GetVersion() {
		e.newer = now
	}
	clock := share.GetClock().AsDuration()
	if clock < e.clock {
		// It started anew and knows neither entries nor what servers keep. In a
		// large fleet all that the others know of the latter would be too much.
		e.named = 0
		if len(r.entries) < clempool.Crowd {
			e.news = 0
		}
	}
	e.version, e.view, e.asks, e.lacks, e.clock = share.GetVersion(), share.GetView(), share.GetAsks(), share.GetLacks(), clock
	return isBack
}

// held returns what the entry last said it holds.
func (r *roster) held(address string) held {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[address]; e != nil {
		return e.held
	}
	return held{}
}

// told returns the number up to which the entry was told of kept parts.
func (r *roster) told(address string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[address]; e != nil {
		return e.news
	}
	return 0
}

// tell notes the number up to which the entry was told of kept parts. A
// message that is lost costs some reading again at most.
func (r *roster) tell(address string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[address]; e != nil {
		e.news = number
	}
}

// lost notes a failed call, and reports whether the entry answered before.
func (r *roster) lost(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[address]
	if e == nil {
		return false
	}
	e.named = 0
	if e.isLost || e.heard.IsZero() {
		return false
	}
	e.isLost = true
	return true
}

// due returns the entries to call now. Of two entries the one with the
// lower address calls, the other one only if it was not called for a while.
func (r *roster) due(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []string
	for address, e := range r.entries {
		if now.Sub(e.last()) > 2*forgetTime {
			r.forget(address)
			continue
		}
		pace := r.paceOf()
		if e.isLost {
			pace = silentPace
		}
		isMine := r.own < address || now.Sub(e.heard) > calledTime
		if !isMine || e.isCalling || now.Sub(e.called) < pace {
			continue
		}
		e.isCalling, e.called = true, now
		due = append(due, address)
	}
	return due
}

// forget drops an entry. The others were told of one joined entry less if it
// was among those that they were told of.
func (r *roster) forget(address string) {
	delete(r.entries, address)
	at := slices.Index(r.joined, address)
	if at < 0 {
		return
	}
	r.joined = slices.Delete(r.joined, at, at+1)
	for _, e := range r.entries {
		if at < e.named {
			e.named--
		}
	}
}

// turn returns the number of entries before this one that took part lately.
func (r *roster) turn(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for address, e := range r.entries {
		if address < r.own && !e.heard.IsZero() && now.Sub(e.heard) < lostTime {
			n++
		}
	}
	return n
}

func (r *roster) called(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[address]; e != nil {
		e.isCalling = false
	}
}

// count returns the number of other entries that took part lately.
func (r *roster) count(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.entries {
		if !e.heard.IsZero() && now.Sub(e.heard) < silentTime {
			n++
		}
	}
	return n
}

// isConfigured reports whether an entry that took part lately holds a configuration.
func (r *roster) isConfigured(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.version > 0 && now.Sub(e.heard) < lostTime {
			return true
		}
	}
	return false
}

// name returns the entries that were not named to the given one yet.
func (r *roster) name(address string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[address]
	if e == nil {
		return slices.Clone(r.joined)
	}
	unnamed := slices.Clone(r.joined[e.named:])
	e.named = len(r.joined)
	return unnamed
}

// pace returns the pace of calls between two entries.
func (r *roster) pace() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paceOf()
}

func (r *roster) paceOf() time.Duration {
	n := time.Duration(len(r.entries))
	return max(exchangePace+n*entryPace, n*crowdPace)
}

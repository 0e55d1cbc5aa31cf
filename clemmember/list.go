package clemmember

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementineturn/clementineturn/clemwire"
)

// shrinkWindow is the time over which losses of a group count as one.
const shrinkWindow = time.Minute

// group names the hosts that stand in for each other.
type group struct {
	role, pool string
}

func groupOf(host *clemwire.Host) group { return group{host.GetRole(), host.GetPool()} }

// entry is a host as the list last showed it.
type entry struct {
	host *clemwire.Host
	// missing is set if the list lost the host together with more than half
	// of its group, so that its absence needs a second sign.
	missing bool
}

// list merges the answers of the platform's list. A host that the list marks
// as leaving goes at once, and so does one that it lacks, unless more than
// half of the group goes missing within the window: then the list may be at
// fault, and each missing host stays until its connections fail or it refuses.
type list struct {
	entries map[string]*entry
	// lost holds, per group, when each host went on the list's word alone.
	lost map[group]map[string]time.Time
}

func newList() *list {
	return &list{entries: map[string]*entry{}, lost: map[group]map[string]time.Time{}}
}

// change is what an answer of the list changed.
type change struct {
	joined, gone []*clemwire.Host
	doubted      int
}

// merge takes the list's answer.
func (l *list) merge(hosts []*clemwire.Host, now time.Time) change {
	var c change
	listed := make(map[string]bool, len(hosts))
	counts := map[group]int{}
	for _, host := range hosts {
		listed[host.GetName()] = true
		counts[groupOf(host)]++
		l.update(host, &c)
	}
	absent := map[group][]*entry{}
	for name, e := range l.entries {
		if listed[name] {
			continue
		}
		if e.host.GetLeaving() {
			l.remove(e, &c)
			continue
		}
		absent[groupOf(e.host)] = append(absent[groupOf(e.host)], e)
	}
	for g, entries := range absent {
		l.judge(g, entries, counts[g], now, &c)
	}
	return c
}

// update takes one listed host. A host that is no longer leaving joins again.
func (l *list) update(host *clemwire.Host, c *change) {
	old := l.entries[host.GetName()]
	delete(l.lost[groupOf(host)], host.GetName())
	if old != nil && !old.missing && proto.Equal(old.host, host) {
		return
	}
	l.entries[host.GetName()] = &entry{host: host}
	switch was := old != nil && !old.host.GetLeaving(); {
	case !was && !host.GetLeaving():
		c.joined = append(c.joined, host)
	case was && host.GetLeaving():
		c.gone = append(c.gone, host)
	}
}

// judge removes the absent hosts of a group, or marks them as missing if they
// and those lost lately are more than half of it.
func (l *list) judge(g group, absent []*entry, listed int, now time.Time, c *change) {
	if l.lost[g] == nil {
		l.lost[g] = map[string]time.Time{}
	}
	maps.DeleteFunc(l.lost[g], func(_ string, at time.Time) bool { return now.Sub(at) > shrinkWindow })
	lost := len(l.lost[g]) + len(absent)
	doubt := lost > listed
	for _, e := range absent {
		if !doubt {
			l.lost[g][e.host.GetName()] = now
			l.remove(e, c)
			continue
		}
		if !e.missing {
			l.entries[e.host.GetName()] = &entry{host: e.host, missing: true}
			c.doubted++
		}
	}
}

func (l *list) remove(e *entry, c *change) {
	delete(l.entries, e.host.GetName())
	if !e.host.GetLeaving() {
		c.gone = append(c.gone, e.host)
	}
}

// confirm removes a missing host because of a second sign, and reports whether it did.
func (l *list) confirm(name string) bool {
	e := l.entries[name]
	if e == nil || !e.missing {
		return false
	}
	delete(l.entries, name)
	return true
}

package clemmember

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementineturn/clementineturn/clemwire"
)

// lossWindow is the time within which the losses of a group are added up.
const lossWindow = time.Minute

// group identifies hosts that can replace each other.
type group struct {
	role, pool string
}

func groupOf(host *clemwire.Host) group { return group{host.GetRole(), host.GetPool()} }

// listedHost is a host as last seen in the list.
type listedHost struct {
	host *clemwire.Host
	// isMissing is set if the host disappeared from the list together with more
	// than half of its group, so that its loss needs to be confirmed.
	isMissing bool
}

// hostList merges successive reads of the platform's list. A host that the list
// marks as draining is removed at once, and so is one that it lacks, unless more
// than half of the group disappears within lossWindow: then the list may be
// wrong, and each missing host stays until its connections fail or it refuses
// work.
type hostList struct {
	hosts map[string]*listedHost
	// removedAt holds, per group, when each host was removed without
	// confirmation.
	removedAt map[group]map[string]time.Time
}

func newHostList() *hostList {
	return &hostList{hosts: map[string]*listedHost{}, removedAt: map[group]map[string]time.Time{}}
}

// listChange is what a read of the list changed.
type listChange struct {
	joined, left []*clemwire.Host
	newlyMissing int
}

// merge merges the hosts of a read of the list.
func (l *hostList) merge(hosts []*clemwire.Host, now time.Time) listChange {
	var c listChange
	listed := make(map[string]bool, len(hosts))
	counts := map[group]int{}
	for _, host := range hosts {
		listed[host.GetName()] = true
		counts[groupOf(host)]++
		l.update(host, &c)
	}
	absent := map[group][]*listedHost{}
	for name, h := range l.hosts {
		if listed[name] {
			continue
		}
		if h.host.GetLeaving() {
			l.remove(h, &c)
			continue
		}
		absent[groupOf(h.host)] = append(absent[groupOf(h.host)], h)
	}
	for g, missing := range absent {
		l.removeOrMarkMissing(g, missing, counts[g], now, &c)
	}
	return c
}

// update merges one listed host. A host that is no longer marked as draining joins
// again.
func (l *hostList) update(host *clemwire.Host, c *listChange) {
	old := l.hosts[host.GetName()]
	delete(l.removedAt[groupOf(host)], host.GetName())
	if old != nil && !old.isMissing && proto.Equal(old.host, host) {
		return
	}
	l.hosts[host.GetName()] = &listedHost{host: host}
	switch wasActive := old != nil && !old.host.GetLeaving(); {
	case !wasActive && !host.GetLeaving():
		c.joined = append(c.joined, host)
	case wasActive && host.GetLeaving():
		c.left = append(c.left, host)
	}
}

// removeOrMarkMissing removes the absent hosts of a group, or marks them as
// missing if they and those removed within lossWindow are more than half of it.
func (l *hostList) removeOrMarkMissing(g group, absent []*listedHost, listed int, now time.Time, c *listChange) {
	if l.removedAt[g] == nil {
		l.removedAt[g] = map[string]time.Time{}
	}
	maps.DeleteFunc(l.removedAt[g], func(_ string, at time.Time) bool { return now.Sub(at) > lossWindow })
	lost := len(l.removedAt[g]) + len(absent)
	isSuspect := lost > listed
	for _, h := range absent {
		if !isSuspect {
			l.removedAt[g][h.host.GetName()] = now
			l.remove(h, c)
			continue
		}
		if !h.isMissing {
			l.hosts[h.host.GetName()] = &listedHost{host: h.host, isMissing: true}
			c.newlyMissing++
		}
	}
}

func (l *hostList) remove(h *listedHost, c *listChange) {
	delete(l.hosts, h.host.GetName())
	if !h.host.GetLeaving() {
		c.left = append(c.left, h.host)
	}
}

// confirmMissing removes the host if it is missing, and reports whether it did.
// It is called when the host refuses work or its connections fail.
func (l *hostList) confirmMissing(name string) bool {
	h := l.hosts[name]
	if h == nil || !h.isMissing {
		return false
	}
	delete(l.hosts, name)
	return true
}

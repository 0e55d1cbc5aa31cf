package clemspread

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// tokenUnit is the unit of pending prompt tokens in sums.
	tokenUnit = 256
	// maxSumOutcomes bounds the servers in a sum of which outcomes and limits are sent.
	maxSumOutcomes = 256
)

// tally adds up reports on servers.
type tally struct {
	loads    map[uint32]clempool.Load
	outcomes map[string]clempool.ServerStats
}

func newTally() *tally {
	return &tally{loads: map[uint32]clempool.Load{}, outcomes: map[string]clempool.ServerStats{}}
}

// addLoad adds to the load of a server.
func (t *tally) addLoad(name uint32, running, pendingTokens int) {
	load := t.loads[name]
	t.loads[name] = clempool.Load{Running: load.Running + running, PendingTokens: load.PendingTokens + pendingTokens}
}

// addReport adds the report of an entry, made at the given time.
func (t *tally) addReport(report []*clemwire.Running, at time.Time) {
	for _, r := range report {
		if r.GetCount() > 0 || r.GetUnread() > 0 {
			t.addLoad(clempool.ServerName(r.GetServer()), int(r.GetCount()), int(r.GetUnread()))
		}
		t.addOutcome(r, at)
	}
}

// addOutcome adds the outcomes and the limit in a report made at the given time.
func (t *tally) addOutcome(r *clemwire.Running, at time.Time) {
	stats, sum := decodeStats(r, at), t.outcomes[r.GetServer()]
	sum.Successes += stats.Successes
	sum.Failures += stats.Failures
	sum.Sent += stats.Sent
	sum.Demand += stats.Demand
	sum.IsCounted = sum.IsCounted || stats.IsCounted
	sum.IsLeaving, sum.LeavingIncarnation = sum.IsLeaving || stats.IsLeaving, max(sum.LeavingIncarnation, stats.LeavingIncarnation)
	if stats.LimitStatedAt.After(sum.LimitStatedAt) {
		sum.LimitStatedAt, sum.IsLimited, sum.Limit = stats.LimitStatedAt, stats.IsLimited, stats.Limit
	}
	t.outcomes[r.GetServer()] = sum
}

// addSum adds a sum made at the given time.
func (t *tally) addSum(sum *clemwire.Sum, at time.Time) {
	for name, load := range decodeLoads(sum) {
		t.addLoad(name, load.Running, load.PendingTokens)
	}
	for _, r := range sum.GetOutcomes() {
		t.addOutcome(r, at)
	}
}

// encodeOutcomes adds the outcomes to the sum: those of servers with failures, here or,
// as isFailing says, elsewhere, of servers that leave, and of servers with a limit, which
// come first if there are too many.
func (t *tally) encodeOutcomes(sum *clemwire.Sum, isFailing map[string]bool, now time.Time) {
	var ids []string
	for id, stats := range t.outcomes {
		if stats.IsCounted || stats.IsLeaving || stats.Failures > 0 || stats.Successes > 0 && isFailing[id] {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		x, y := t.outcomes[a], t.outcomes[b]
		if x.IsCounted != y.IsCounted {
			if x.IsCounted {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.Failures, x.Failures), cmp.Compare(a, b))
	})
	for _, id := range ids[:min(len(ids), maxSumOutcomes)] {
		sum.Outcomes = append(sum.Outcomes, encodeStats(id, t.outcomes[id], now))
	}
}

// encodeLoads adds loads to the sum.
func encodeLoads(sum *clemwire.Sum, loads map[uint32]clempool.Load) {
	last := uint32(0)
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		load := loads[name]
		sum.Servers = append(sum.Servers, name-last)
		sum.Counts = append(sum.Counts, uint32(load.Running))
		sum.Unread = append(sum.Unread, encodeTokens(load.PendingTokens))
		last = name
	}
}

// decodeLoads returns the loads in the sum. Lists of different lengths end with the
// shortest one.
func decodeLoads(sum *clemwire.Sum) map[uint32]clempool.Load {
	n := min(len(sum.GetServers()), len(sum.GetCounts()), len(sum.GetUnread()))
	loads := make(map[uint32]clempool.Load, n)
	name := uint32(0)
	for i, difference := range sum.GetServers()[:n] {
		name += difference
		loads[name] = clempool.Load{Running: int(sum.GetCounts()[i]), PendingTokens: tokenUnit * int(sum.GetUnread()[i])}
	}
	return loads
}

func encodeTokens(tokens int) uint32 { return uint32((tokens + tokenUnit/2) / tokenUnit) }

// fleetStats returns the sum over the other groups for the directory.
func fleetStats(rest *clemwire.Sum, age time.Duration, now time.Time) clempool.FleetStats {
	stats := clempool.FleetStats{
		Entries: int(rest.GetEntries()), Age: age, Loads: decodeLoads(rest),
		Others: map[string]clempool.Load{}, Outcomes: map[string]clempool.ServerStats{},
	}
	for _, other := range rest.GetOthers() {
		stats.Others[other.GetService()] = clempool.Load{Running: int(other.GetCount()), PendingTokens: tokenUnit * int(other.GetUnread())}
	}
	for _, r := range rest.GetOutcomes() {
		outcome := decodeStats(r, now.Add(-age))
		// 0 means the report of one entry.
		outcome.Origin = max(rest.GetDigest(), 1)
		stats.Outcomes[r.GetServer()] = outcome
	}
	return stats
}

// encodeStats returns the report on a server.
func encodeStats(id string, stats clempool.ServerStats, now time.Time) *clemwire.Running {
	running := &clemwire.Running{
		Server: id, Count: uint32(stats.Running), Unread: uint32(stats.PendingTokens),
		Good: uint32(stats.Successes * outcomeScale), Failed: uint32(stats.Failures * outcomeScale),
		Leaving: stats.IsLeaving, Born: stats.LeavingIncarnation,
		Limited: stats.IsLimited, Limit: stats.Limit, Counted: stats.IsCounted, Sent: stats.Sent, Demand: uint32(stats.Demand * outcomeScale),
	}
	if !stats.LimitStatedAt.IsZero() {
		running.Stated = durationpb.New(now.Sub(stats.LimitStatedAt))
	}
	return running
}

// decodeStats returns what a report made at the given time says of a server. A limit that
// is no number, infinite or below 0 is left out: no request would be admitted ever again.
func decodeStats(r *clemwire.Running, at time.Time) clempool.ServerStats {
	stats := clempool.ServerStats{
		Running: int(r.GetCount()), PendingTokens: int(r.GetUnread()),
		Successes: float64(r.GetGood()) / outcomeScale, Failures: float64(r.GetFailed()) / outcomeScale,
		IsLeaving: r.GetLeaving(), LeavingIncarnation: r.GetBorn(),
	}
	if limit := r.GetLimit(); !(limit >= 0) || math.IsInf(limit, 1) {
		return stats
	}
	stats.IsLimited, stats.Limit, stats.IsCounted = r.GetLimited(), r.GetLimit(), r.GetCounted()
	stats.Sent, stats.Demand = r.GetSent(), float64(r.GetDemand())/outcomeScale
	if r.GetStated() != nil {
		stats.LimitStatedAt = at.Add(-decodeAge(r.GetStated()))
	}
	return stats
}

// decodeAge returns an age in a peer's message. One below 0 counts as 0, since what lies in
// the future would not expire.
func decodeAge(age *durationpb.Duration) time.Duration { return max(age.AsDuration(), 0) }

// sumSize returns the size of a sum in a message.
func sumSize(sum *clemwire.Sum) int { return proto.Size(sum) }

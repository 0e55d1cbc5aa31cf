package clemburn

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemwire"
)

func gathered(node, organisation string, total, failed, slow uint64) *clemwire.Gathered {
	return &clemwire.Gathered{Node: node, Counts: []*clemwire.Count{{
		Organisation: organisation, Pool: "p", Window: durationpb.New(ShortWindow), Total: total, Failed: failed, Slow: slow,
	}}}
}

func objective(availability, share float64) *clemwire.Objective {
	return &clemwire.Objective{Availability: availability, First: durationpb.New(time.Second), Share: share}
}

func state(entities ...*clemwire.Entity) *clemconfig.State {
	return clemconfig.FromSnapshot(&clemwire.Snapshot{Generation: 1, Entities: entities})
}

func organisationWithObjective(o *clemwire.Objective) *clemwire.Entity {
	return &clemwire.Entity{Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{Name: "acme", Objective: o}}}
}

func poolWithObjective(o *clemwire.Objective) *clemwire.Entity {
	return &clemwire.Entity{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{Name: "p", Objective: o}}}
}

func TestReportSumsEntries(t *testing.T) {
	lines := Report(clemconfig.Empty(), []*clemwire.Gathered{gathered("e1", "acme", 600, 1, 20), gathered("e2", "acme", 400, 1, 30)})
	require.Len(t, lines, 2)
	available, latency := lines[0], lines[1]
	require.Equal(t, Availability, available.GetObjective())
	require.EqualValues(t, 1000, available.GetTotal())
	require.EqualValues(t, 2, available.GetBad())
	require.InDelta(t, 2, available.GetBurn(), 1e-9, "two of a thousand against one allowed")
	require.InDelta(t, -1, available.GetLeft(), 1e-9)
	require.Equal(t, Latency, latency.GetObjective())
	require.EqualValues(t, 998, latency.GetTotal(), "failed requests have no latency")
	require.InDelta(t, 50.0/998/0.05, latency.GetBurn(), 1e-9)
}

func TestObjectiveOrder(t *testing.T) {
	both := state(organisationWithObjective(objective(0.99, 0.9)), poolWithObjective(objective(0.9, 0.8)))
	require.InDelta(t, 0.99, Objective(both, "acme", "p").GetAvailability(), 0)
	require.InDelta(t, 0.9, Objective(both, "other", "p").GetAvailability(), 0)
	require.InDelta(t, defaultAvailability, Objective(both, "other", "q").GetAvailability(), 0)
	require.Equal(t, defaultFirstByteTarget, Objective(nil, "", "").GetFirst().AsDuration())
	line := Report(both, []*clemwire.Gathered{gathered("e1", "acme", 100, 1, 0)})[0]
	require.InDelta(t, 1, line.GetBurn(), 1e-9, "exactly the budget")
	require.InDelta(t, 0, line.GetLeft(), 1e-9)
}

func TestReportWithoutEvents(t *testing.T) {
	require.Empty(t, Report(nil, nil))
	lines := Report(nil, []*clemwire.Gathered{gathered("e1", "acme", 0, 0, 0), nil})
	require.Zero(t, lines[0].GetBurn())
	require.InDelta(t, 1, lines[0].GetLeft(), 0)
	odd := Report(nil, []*clemwire.Gathered{gathered("e1", "acme", 1, 5, 0)})
	require.Zero(t, odd[1].GetTotal(), "counts of an entry that contradict each other must not wrap around")
}

func ExampleReport() {
	now := time.Unix(0, 0)
	r := New(Config{Now: func() time.Time { return now }})
	for i := range 1000 {
		r.Record(now, "acme", "cribs", i < 3, 200*time.Millisecond, 690*time.Millisecond)
	}
	for _, l := range Report(clemconfig.Empty(), []*clemwire.Gathered{r.Gather("entry-1")}) {
		fmt.Printf("%s %v burn %.1f left %.1f\n", l.GetObjective(), l.GetWindow().AsDuration(), l.GetBurn(), l.GetLeft())
	}
	// Output:
	// availability 5m0s burn 3.0 left -2.0
	// latency 5m0s burn 0.0 left 1.0
	// availability 1h0m0s burn 3.0 left -2.0
	// latency 1h0m0s burn 0.0 left 1.0
}

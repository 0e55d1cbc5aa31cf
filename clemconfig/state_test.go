package clemconfig

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/clementineturn/clementineturn/clemwire"
)

// designOrganisations is the number of organisations of the largest fleet that
// the system is designed for.
const designOrganisations = 6500

func organisationEntity(n string, weight uint32, keys ...string) *clemwire.Entity {
	o := &clemwire.Organisation{Name: n, Weight: weight, Queue: 10}
	for _, key := range keys {
		digest := sha256.Sum256([]byte(key))
		o.Keys = append(o.Keys, &clemwire.Key{Name: key, Digest: digest[:]})
	}
	return &clemwire.Entity{Kind: &clemwire.Entity_Organisation{Organisation: o}}
}

func largeState(organisations int) *State {
	snapshot := &clemwire.Snapshot{Generation: 1}
	for i := range organisations {
		n := fmt.Sprintf("organisation-%d", i)
		snapshot.Entities = append(snapshot.Entities, organisationEntity(n, 1, n+"-a", n+"-b"))
	}
	return FromSnapshot(snapshot)
}

func BenchmarkApply(b *testing.B) {
	for _, organisations := range []int{100, 1000, designOrganisations, 4 * designOrganisations} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			state := largeState(organisations)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				n := fmt.Sprintf("organisation-%d", i%organisations)
				next, err := state.Apply(&clemwire.Change{
					Generation: state.Generation() + 1, Action: clemwire.Action_ACTION_UPDATE,
					Entity: organisationEntity(n, uint32(i%maxWeight), n+"-a", n+"-b"),
				})
				if err != nil {
					b.Fatal(err)
				}
				state = next
			}
		})
	}
}

// BenchmarkStateHeap reports the heap and wire sizes of a state.
func BenchmarkStateHeap(b *testing.B) {
	for _, organisations := range []int{100, 1000, designOrganisations} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				state := largeState(organisations)
				b.ReportMetric(float64(heapBytes()-before), "heap-B")
				b.ReportMetric(float64(proto.Size(state.Snapshot())), "wire-B")
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// A state reached by changes equals the one created from its snapshot, and
// earlier states are not modified.
func TestApplyMatchesSnapshot(t *testing.T) {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	rapid.Check(t, func(t *rapid.T) {
		state := Empty()
		type past struct {
			state    *State
			entities int
		}
		var history []past
		for range rapid.IntRange(0, 30).Draw(t, "changes") {
			n := names.Draw(t, "name")
			change := &clemwire.Change{Generation: state.Generation() + 1, Action: clemwire.Action_ACTION_UPDATE}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				// Check requires that no two organisations have the same key.
				change.Entity = organisationEntity(n, 1, n+names.Draw(t, "key"))
			case 1:
				change.Entity = &clemwire.Entity{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{Name: n, Model: n + names.Draw(t, "model")}}}
			case 2:
				change.Entity = &clemwire.Entity{Kind: &clemwire.Entity_Rule{Rule: &clemwire.Rule{Name: n, Service: n, Call: names.Draw(t, "call")}}}
			default:
				change.Entity = &clemwire.Entity{Kind: &clemwire.Entity_Drain{Drain: &clemwire.Drain{Server: n}}}
			}
			if rapid.Bool().Draw(t, "delete") {
				change.Action = clemwire.Action_ACTION_DELETE
			}
			history = append(history, past{state, len(state.Snapshot().GetEntities())})
			next, err := state.Apply(change)
			require.NoError(t, err)
			state = next
		}
		for _, p := range history {
			require.Len(t, p.state.Snapshot().GetEntities(), p.entities)
		}
		restored := FromSnapshot(state.Snapshot())
		require.Equal(t, restored.Snapshot(), state.Snapshot())
		for _, x := range []string{"a", "b", "c", "d"} {
			for _, y := range []string{"a", "b", "c", "d"} {
				digest := sha256.Sum256([]byte(x + y))
				require.Equal(t, restored.OrganisationByKey(digest[:]).GetName(), state.OrganisationByKey(digest[:]).GetName())
				require.Equal(t, restored.PoolByModel(x+y).GetName(), state.PoolByModel(x+y).GetName())
				require.Equal(t, restored.Rule(x, y).GetName(), state.Rule(x, y).GetName())
			}
		}
	})
}

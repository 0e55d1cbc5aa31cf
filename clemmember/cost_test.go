package clemmember

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemplatform"
	"github.com/clementineturn/clementineturn/clemwire"
)

// manyServers returns hosts with names and addresses of typical length.
func manyServers(count int) []*clemwire.Host {
	hosts := make([]*clemwire.Host, count)
	for i := range hosts {
		hosts[i] = &clemwire.Host{
			Name: fmt.Sprintf("kol-a-r%02d-n%04d", i%40, i), Address: fmt.Sprintf("10.%d.%d.%d:7400", i/65536, i/256%256, i%256),
			Region: fmt.Sprintf("region-%d", i%10), Centre: fmt.Sprintf("centre-%d", i%39), Role: "sidecar", Pool: fmt.Sprintf("catalogue-%d", i%4),
		}
	}
	return hosts
}

// BenchmarkHostList measures the cost of a full answer of the list to its reader:
// size, decoding, merging and computing the members, and the cost of a relayed
// change of one host apart from merging.
func BenchmarkHostList(b *testing.B) {
	for _, count := range []int{858, 3432, 13_728} {
		hosts := manyServers(count)
		data, err := clemplatform.EncodeHosts(hosts)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("decode/%d", count), func(b *testing.B) {
			for b.Loop() {
				if _, err := clemplatform.DecodeHosts(data, nil); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "wire-B")
		})
		b.Run(fmt.Sprintf("change/%d", count), func(b *testing.B) {
			list := clemboard.NewHostList(hosts)
			gone := []string{hosts[count/2].GetName()}
			for b.Loop() {
				list.WithChanges(nil, gone).Diff(list)
			}
		})
		b.Run(fmt.Sprintf("merge/%d", count), func(b *testing.B) {
			c := New(Config{})
			c.hasList = true
			for b.Loop() {
				c.list.merge(hosts, time.Now())
				computed, _ := c.computeMembers(time.Now(), func(string) bool { return false })
				clemboard.NewMembers(computed.active).WithInactive(computed.inactive)
			}
		})
	}
}

// BenchmarkMembersHeap measures the memory of list and members.
func BenchmarkMembersHeap(b *testing.B) {
	for _, count := range []int{858, 3432, 13_728} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				c := New(Config{})
				c.hasList = true
				c.list.merge(manyServers(count), time.Now())
				computed, _ := c.computeMembers(time.Now(), func(string) bool { return false })
				members := clemboard.NewMembers(computed.active)
				b.ReportMetric(float64(heapBytes()-before), "heap-B")
				runtime.KeepAlive(c)
				runtime.KeepAlive(members)
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

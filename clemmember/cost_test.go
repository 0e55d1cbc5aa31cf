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

// manyServers returns hosts with names and addresses of usual length.
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

// BenchmarkHostList gives what one full answer of the list costs its reader:
// bytes, decoding, merging, and the members made from it, and what a relayed
// change of one host costs beside the merging.
func BenchmarkHostList(b *testing.B) {
	for _, count := range []int{858, 3432, 13_728} {
		hosts := manyServers(count)
		data, err := clemplatform.EncodeHosts(hosts)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("decode/%d", count), func(b *testing.B) {
			for b.Loop() {
				if _, err := clemplatform.DecodeHosts(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "wire-B")
		})
		b.Run(fmt.Sprintf("change/%d", count), func(b *testing.B) {
			list := clemboard.NewList(hosts)
			gone := []string{hosts[count/2].GetName()}
			for b.Loop() {
				list.With(nil, gone).Since(list)
			}
		})
		b.Run(fmt.Sprintf("merge/%d", count), func(b *testing.B) {
			c := New(Config{})
			c.merged = true
			for b.Loop() {
				c.list.merge(hosts, time.Now())
				composed, _ := c.compose(time.Now(), func(string) bool { return false })
				clemboard.NewMembers(composed.open).WithKnown(composed.closed)
			}
		})
	}
}

// BenchmarkMembersHeap gives the memory that list and members hold.
func BenchmarkMembersHeap(b *testing.B) {
	for _, count := range []int{858, 3432, 13_728} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				c := New(Config{})
				c.merged = true
				c.list.merge(manyServers(count), time.Now())
				composed, _ := c.compose(time.Now(), func(string) bool { return false })
				members := clemboard.NewMembers(composed.open)
				b.ReportMetric(float64(heap()-before), "heap-B")
				runtime.KeepAlive(c)
				runtime.KeepAlive(members)
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

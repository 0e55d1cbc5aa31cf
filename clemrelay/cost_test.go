package clemrelay

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemrpc"
	"github.com/clementineturn/clementineturn/clemwire"
)

// fixedReplyPeer is a parent that returns the same reply to each report at once.
type fixedReplyPeer struct {
	clementineturn.Peer
	reply *clemwire.BeatReply
}

func (p fixedReplyPeer) Beat(context.Context, *clemwire.Beat) (*clemwire.BeatReply, error) {
	return p.reply, nil
}

// BenchmarkBeatCall measures the CPU time of a report and its reply over a loopback
// connection, with both processes and the kernel.
func BenchmarkBeatCall(b *testing.B) {
	for _, pools := range []int{1, 8} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			s := poolSums{}
			for _, host := range region("r", 1, designCentreHosts) {
				for _, load := range busyReport(pools)(host) {
					s.add(load, time.Now())
				}
			}
			reply := &clemwire.BeatReply{Generation: 100_000, Pools: s.forChild(time.Now())}
			beat := &clemwire.Beat{Node: "r0-0-0", Generation: 100_000, Pools: s.forParent(time.Now())}
			router := chi.NewRouter()
			clemrpc.NewServer(clemrpc.ServerConfig{Context: b.Context(), Key: "k", Peer: fixedReplyPeer{reply: reply}}).Mount(router)
			server := httptest.NewServer(router)
			defer server.Close()
			peers := clemrpc.NewPeers(clemrpc.ClientConfig{Key: "k"})
			defer peers.Close()
			peer := peers.Peer(strings.TrimPrefix(server.URL, "http://"))
			before := cpuTime()
			for b.Loop() {
				_, err := peer.Beat(b.Context(), beat)
				require.NoError(b, err)
			}
			b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(proto.Size(beat)), "B-up")
			b.ReportMetric(float64(proto.Size(reply)), "B-down")
		})
	}
}

// BenchmarkTree measures the computation of a process's place in the tree.
func BenchmarkTree(b *testing.B) {
	for _, hosts := range []int{22, 88, designCentreHosts} {
		all := fleetOf(hosts)
		b.Run(fmt.Sprint(len(all)), func(b *testing.B) {
			for b.Loop() {
				newTree(all[len(all)/2], all)
			}
		})
	}
}

// BenchmarkConnectionMemory measures the heap and stack memory of an idle
// connection between two processes, for both sides together.
func BenchmarkConnectionMemory(b *testing.B) {
	for _, connections := range []int{100, 400} {
		b.Run(fmt.Sprint(connections), func(b *testing.B) {
			router := chi.NewRouter()
			clemrpc.NewServer(clemrpc.ServerConfig{Context: b.Context(), Key: "k", Peer: fixedReplyPeer{reply: &clemwire.BeatReply{}}}).Mount(router)
			server := httptest.NewServer(router)
			defer server.Close()
			for b.Loop() {
				before := memoryInUse()
				var all []*clemrpc.Peers
				for range connections {
					peers := clemrpc.NewPeers(clemrpc.ClientConfig{Key: "k"})
					_, err := peers.Peer(strings.TrimPrefix(server.URL, "http://")).Beat(b.Context(), &clemwire.Beat{})
					require.NoError(b, err)
					all = append(all, peers)
				}
				b.ReportMetric(float64(memoryInUse()-before)/float64(connections), "B/connection")
				for _, peers := range all {
					peers.Close()
				}
			}
		})
	}
}

// memoryInUse returns the size of the heap and stacks in bytes.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

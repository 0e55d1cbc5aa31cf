package clemrelay

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// maxControlBytesPerSecond bounds a node's control traffic, sent and received.
	maxControlBytesPerSecond = 4096
	// maxTrafficPools is the number of pools for which that bound must hold.
	maxTrafficPools = 8
	// maxChangingListHosts is the largest number of hosts in a fleet whose host list
	// changes during the measurement.
	maxChangingListHosts = 1000
	// packetHeaderBytes is the size of the IP and TCP headers of a packet.
	packetHeaderBytes = 52
	// measurePeriod is the virtual time during which traffic is counted.
	measurePeriod = 20 * time.Second
	// changeInterval is the interval between configuration changes: 53,000 a day.
	changeInterval = 1630 * time.Millisecond
)

// fleetHosts allows a measurement at the full design size, which takes too long for
// ordinary test runs.
var fleetHosts = flag.Int("hosts", 11, "most hosts per data centre in TestControlTraffic")

// traffic counts the messages and bytes that each node sends and receives. It encodes
// and decodes each message, so that the CPU time includes that work.
type traffic struct {
	mu              sync.Mutex
	isCounting      bool
	bytes, messages map[string]int
}

func (c *traffic) count(from, to string, message proto.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isCounting {
		return
	}
	size := packetHeaderBytes
	for _, m := range []proto.Message{&clemwire.Head{Method: "Fleet.Beat", Seq: 100_000}, message} {
		var buffer bytes.Buffer
		n, _ := protodelim.MarshalTo(&buffer, m)
		_ = protodelim.UnmarshalFrom(&buffer, m.ProtoReflect().New().Interface())
		size += n
	}
	for _, node := range []string{from, to} {
		c.bytes[node] += size
		c.messages[node]++
	}
}

func (c *traffic) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCounting = true
}

func (c *traffic) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCounting = false
}

func (c *traffic) busiestNode() (size, messages int) {
	for node := range c.bytes {
		size, messages = max(size, c.bytes[node]), max(messages, c.messages[node])
	}
	return size, messages
}

func (c *traffic) total() (size, messages int) {
	for node := range c.bytes {
		size += c.bytes[node]
		messages += c.messages[node]
	}
	return size, messages
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// busyReport returns a function that returns a host's load report: a load and a
// speed drawn at random for each server, in one of the pools.
func busyReport(pools int) func(*clemwire.Host) []*clemwire.PoolLoad {
	return func(host *clemwire.Host) []*clemwire.PoolLoad {
		if host.GetRole() == "entry" {
			return nil
		}
		random := rand.New(rand.NewPCG(rankOf(host).nameHash, 1))
		load := &clemwire.PoolLoad{Pool: fmt.Sprintf("catalogue-%d", random.IntN(pools)), Servers: 1, Load: 20_000 + random.Uint64N(60_000)}
		load.Speeds = SpeedHistogram(time.Duration(20+random.IntN(20)) * time.Millisecond)
		return []*clemwire.PoolLoad{load}
	}
}

// measureControl runs a fleet, logs the control traffic of its nodes and returns
// that of the busiest one in bytes per second.
func measureControl(t *testing.T, hosts []*clemwire.Host, pools int) (maxBytesPerSecond float64) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts)
		f.newReport = busyReport(pools)
		c := &traffic{bytes: map[string]int{}, messages: map[string]int{}}
		f.onMessage = c.count
		f.fixedList = clemboard.NewHostList(hosts)
		root := sortedCopy(hosts)[0]
		f.startAll()
		defer f.stopAll()
		// Rounds begin about once a second. The additional half second keeps their
		// boundaries away from those of the measurement.
		time.Sleep(warmup + 500*time.Millisecond)
		c.start()
		reads, _ := f.table.Counts()
		before := cpuTime()
		end := time.Now().Add(measurePeriod)
		for i := 0; time.Now().Before(end); i++ {
			f.confirmList(root, i)
			f.commit(fmt.Sprintf("organisation-%d", i))
			time.Sleep(changeInterval)
		}
		used := cpuTime() - before
		c.stop()
		after, _ := f.table.Counts()
		size, messages := c.total()
		top, topMessages := c.busiestNode()
		nodes := float64(len(hosts)) * measurePeriod.Seconds()
		maxBytesPerSecond = float64(top) / measurePeriod.Seconds()
		age, _ := f.oldestSum("catalogue-0")
		took := f.waitInForce(f.commit("last"), maxPropagation)
		t.Logf("nodes %5d  pools %2d  bytes/s mean %5.0f most %5.0f  messages/s mean %4.1f most %4.1f  processor %4.0f µs/s  reads/s %3.0f  age %v  in force %v",
			len(hosts), pools, float64(size)/nodes, maxBytesPerSecond, float64(messages)/nodes, float64(topMessages)/measurePeriod.Seconds(),
			float64(used.Microseconds())/nodes, float64(after-reads)/measurePeriod.Seconds(), age, took)
	})
	return maxBytesPerSecond
}

// confirmList gives the root a confirmation of the host list and, in every eighth
// call, a change of one host: one in 13 s, the rate at the design size. Since each
// node then copies the list, it does not change in fleets of more than
// maxChangingListHosts hosts, which would need more memory than one machine has.
func (f *fleet) confirmList(root *clemwire.Host, call int) {
	board := f.nodes[root.GetName()].board
	if call%8 == 4 && len(f.hosts) <= maxChangingListHosts {
		host := proto.CloneOf(f.hosts[len(f.hosts)/2])
		host.Leaving = call%16 == 4
		board.HostList().Set(board.HostList().Get().WithChanges([]*clemwire.Host{host}, nil))
	}
	board.ListConfirmation().Set(clemboard.NewListConfirmation(time.Now(), false))
}

// fleetOf returns the hosts of a fleet of 10 regions and 39 data centres with the
// given number of hosts in each. One host in eight is an entry.
func fleetOf(hosts int) []*clemwire.Host {
	all := regions(10, 4, hosts)[:39*hosts]
	for i, host := range all {
		if i%8 == 0 {
			host.Role, host.Pool = "entry", ""
		}
	}
	return all
}

// TestControlTraffic logs the control traffic at several fleet sizes and fails if a
// node exceeds maxControlBytesPerSecond in a fleet of all data centres.
func TestControlTraffic(t *testing.T) {
	pools := []int{maxTrafficPools}
	if *fleetHosts == designCentreHosts {
		pools = []int{1, 4, maxTrafficPools}
	}
	for _, p := range pools {
		for _, hosts := range []int{22, 88, designCentreHosts} {
			if hosts <= *fleetHosts {
				measureControl(t, region("r", 1, hosts), p)
			}
		}
		maxBytesPerSecond := measureControl(t, fleetOf(*fleetHosts), p)
		require.Less(t, maxBytesPerSecond, float64(maxControlBytesPerSecond))
	}
}

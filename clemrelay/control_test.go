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
	// byteBudget is what a node may spend on control traffic, in bytes a second.
	byteBudget = 4096
	// maxPools is the number of pools that the budget is held for.
	maxPools = 8
	// maxListed is the size of the largest fleet in which the list changes.
	maxListed = 1000
	// packetHead is the size of the IP and TCP heads of a message of one packet, in bytes.
	packetHead = 52
	// measured is the virtual time over which traffic is counted.
	measured = 20 * time.Second
	// changesEach is the time between changes: 53,000 a day.
	changesEach = 1630 * time.Millisecond
)

// fleetHosts lets the whole size be measured, which takes too long for every run of the tests.
var fleetHosts = flag.Int("hosts", 11, "most hosts per data centre in TestControlTraffic")

// traffic counts messages and bytes, sent and received, per node. It encodes
// and decodes each message as the connection between two processes does.
type traffic struct {
	mu              sync.Mutex
	on              bool
	bytes, messages map[string]int
}

func (c *traffic) count(from, to string, message proto.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.on {
		return
	}
	size := packetHead
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
	c.on = true
}

func (c *traffic) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.on = false
}

func (c *traffic) most() (size, messages int) {
	for node := range c.bytes {
		size, messages = max(size, c.bytes[node]), max(messages, c.messages[node])
	}
	return size, messages
}

func (c *traffic) sum() (size, messages int) {
	for node := range c.bytes {
		size += c.bytes[node]
		messages += c.messages[node]
	}
	return size, messages
}

// processorTime returns the time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// busyReport returns a function that reports loads of changing size, as
// servers in use do. Servers are spread over the pools.
func busyReport(pools int) func(*clemwire.Host) []*clemwire.PoolLoad {
	return func(host *clemwire.Host) []*clemwire.PoolLoad {
		if host.GetRole() == "entry" {
			return nil
		}
		draw := rand.New(rand.NewPCG(rankOf(host).node, 1))
		load := &clemwire.PoolLoad{Pool: fmt.Sprintf("catalogue-%d", draw.IntN(pools)), Servers: 1, Load: 20_000 + draw.Uint64N(60_000)}
		load.Speeds = Speeds(time.Duration(20+draw.IntN(20)) * time.Millisecond)
		return []*clemwire.PoolLoad{load}
	}
}

// measureControl runs a fleet and prints what a node spends.
func measureControl(t *testing.T, hosts []*clemwire.Host, pools int) (most float64) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts)
		f.report = busyReport(pools)
		c := &traffic{bytes: map[string]int{}, messages: map[string]int{}}
		f.counter = c.count
		f.shared = clemboard.NewHostList(hosts)
		root := sortedCopy(hosts)[0]
		f.startAll()
		defer f.stopAll()
		// Rounds begin about once a second; half a second keeps their edges out.
		time.Sleep(warmup + 500*time.Millisecond)
		c.start()
		reads, _ := f.table.Counts()
		before := processorTime()
		end := time.Now().Add(measured)
		for i := 0; time.Now().Before(end); i++ {
			f.confirmList(root, i)
			f.commit(fmt.Sprintf("organisation-%d", i))
			time.Sleep(changesEach)
		}
		used := processorTime() - before
		c.stop()
		after, _ := f.table.Counts()
		size, messages := c.sum()
		top, topMessages := c.most()
		nodes := float64(len(hosts)) * measured.Seconds()
		most = float64(top) / measured.Seconds()
		age, _ := f.oldest("catalogue-0")
		took := f.wait(f.commit("last"), promised)
		t.Logf("nodes %5d  pools %2d  bytes/s mean %5.0f most %5.0f  messages/s mean %4.1f most %4.1f  processor %4.0f µs/s  reads/s %3.0f  age %v  in force %v",
			len(hosts), pools, float64(size)/nodes, most, float64(messages)/nodes, float64(topMessages)/measured.Seconds(),
			float64(used.Microseconds())/nodes, float64(after-reads)/measured.Seconds(), age, took)
	})
	return most
}

// confirmList gives the root a confirmation of the list, and in every eighth
// call a change of one host: one in 13 s, as at the size to design for. Each
// node copies the list then, so fleets that are too large for one machine go without.
func (f *fleet) confirmList(root *clemwire.Host, call int) {
	board := f.nodes[root.GetName()].board
	if call%8 == 4 && len(f.hosts) <= maxListed {
		host := proto.CloneOf(f.hosts[len(f.hosts)/2])
		host.Leaving = call%16 == 4
		board.HostList().Set(board.HostList().Get().WithChanges([]*clemwire.Host{host}, nil))
	}
	board.ListConfirmation().Set(clemboard.NewListConfirmation(time.Now(), false))
}

// fleetOf returns a fleet of 10 regions and 39 data centres with so many hosts each, an eighth of them entries.
func fleetOf(hosts int) []*clemwire.Host {
	all := regions(10, 4, hosts)[:39*hosts]
	for i, host := range all {
		if i%8 == 0 {
			host.Role, host.Pool = "entry", ""
		}
	}
	return all
}

// TestControlTraffic prints the control traffic at several sizes and fails if
// a node spends more than the budget in a fleet of all data centres.
func TestControlTraffic(t *testing.T) {
	pools := []int{maxPools}
	if *fleetHosts == letterCentre {
		pools = []int{1, 4, maxPools}
	}
	for _, p := range pools {
		for _, hosts := range []int{22, 88, letterCentre} {
			if hosts <= *fleetHosts {
				measureControl(t, region("r", 1, hosts), p)
			}
		}
		most := measureControl(t, fleetOf(*fleetHosts), p)
		require.Less(t, most, float64(byteBudget))
	}
}

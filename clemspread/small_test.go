package clemspread

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemquarantine"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemwire"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// encodeMessages returns what an entry of a fleet of the size sends to its peers and when
// it calls them, while the peers report.
func encodeMessages(t *testing.T, size int) string {
	var lines []string
	runTest(t, func(_ context.Context, n *network, store *fakeStore) {
		syncer := New(Config{
			Name: "e05", Address: "e05", Store: store, Peers: n, Table: &clemroute.Table{}, DecodeConfiguration: decodeVersion, DecodeServer: decodeServer,
			Directory:  clempool.New(clempool.Config{MaxLoadFactor: func() float64 { return 2 }, Rand: func() uint64 { return 0 }}),
			IsDraining: func() bool { return false },
		})
		started := time.Now()
		syncer.applyDocument([]byte("1"), "test")
		syncer.servers.Apply(clementineturn.NewBatch([]clementineturn.Change{writtenRow("s1", "10.0.0.1:80", 7)}, 7), true, started, started)
		for i := range size {
			syncer.peers.add(fmt.Sprintf("e%02d", i), started)
		}
		part := clementineturn.NewPromptPart(clementineturn.PromptPartConfig{ID: 5, Tokens: 100})
		var leases []*clempool.Lease
		for step := range 100 {
			time.Sleep(20 * time.Millisecond)
			if step%30 == 0 {
				lease, err := syncer.config.Directory.Acquire(clempool.Request{Service: "pool", Prefix: []clementineturn.PromptPart{part}, PromptTokens: 100}, time.Now())
				if err == nil {
					leases = append(leases, lease)
				}
			}
			if step == 70 && len(leases) > 0 {
				leases[0].Release(clempool.OutcomeUnreached, nil, time.Now())
				syncer.config.Quarantine.Adopt(clemquarantine.Quarantine{Part: testPart, Crashes: 3, At: time.Now(), LastSeen: time.Now()}, time.Now())
			}
			for i := step % 7; i < size; i += 7 {
				if i == 5 {
					continue
				}
				address := fmt.Sprintf("e%02d", i)
				answer, err := syncer.Share(t.Context(), &clemwire.Share{
					Name: address, Address: address, Version: uint64(1 + step/50), View: 7, Age: durationpb.New(time.Second), Since: 7, Lacks: step == 40,
					Clock: durationpb.New(time.Duration(step) * 20 * time.Millisecond), Echo: durationpb.New(time.Duration(max(step-1, 0)) * 20 * time.Millisecond),
					Running: []*clemwire.Running{{Server: "s1", Count: 1, Failed: uint32(step)}},
				})
				require.NoError(t, err)
				lines = append(lines, encodeMessage(t, time.Since(started), address, answer))
			}
			due := syncer.peers.takeDue(time.Now())
			slices.Sort(due)
			for _, address := range due {
				lines = append(lines, encodeMessage(t, time.Since(started), "call "+address, syncer.newShare(address)))
				syncer.peers.endCall(address)
			}
		}
	})
	return strings.Join(lines, "\n") + "\n"
}

func encodeMessage(t *testing.T, at time.Duration, label string, message *clemwire.Share) string {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	require.NoError(t, err)
	return fmt.Sprintf("%s %s %x", at, label, encoded)
}

// Guards against any change to the messages and intervals of a fleet of one group: the
// golden files were written by the code before groups.
func TestMessagesOfASmallFleetAreUnchanged(t *testing.T) {
	for _, size := range []int{3, 8, clempool.LargeFleetSize} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			golden := fmt.Sprintf("testdata/small-%d.txt", size)
			// The larger ones are compared by their first and last messages.
			lines := strings.SplitAfter(encodeMessages(t, size), "\n")
			if len(lines) > 200 {
				lines = slices.Concat(lines[:100], []string{fmt.Sprintf("%d messages\n", len(lines))}, lines[len(lines)-100:])
			}
			messages := strings.Join(lines, "")
			if *updateGolden {
				require.NoError(t, os.WriteFile(golden, []byte(messages), 0o644))
			}
			expected, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(expected), messages)
		})
	}
}

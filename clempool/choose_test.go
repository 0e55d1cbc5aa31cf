package clempool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

// toldTime is how long what entries tell each other is believed.
const toldTime = 1200 * time.Millisecond

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// fleet returns entries that share the same servers of one service.
func fleet(entries, servers, slots int) []*Directory {
	rng := rand.New(rand.NewPCG(1, 1))
	directories := make([]*Directory, entries)
	for i := range directories {
		directories[i] = New(Config{Multiple: func() float64 { return 2 }, Centre: "kol-a", Draw: rng.Uint64})
		for n := range servers {
			directories[i].Put(newRecord(n, slots))
		}
	}
	return directories
}

func newRecord(n, slots int) Record {
	return NewRecord(RecordConfig{ID: fmt.Sprintf("s%02d", n), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:80", n), Slots: slots})
}

// exchange lets every entry tell every other one what it has.
func exchange(directories []*Directory, now time.Time) {
	for i, from := range directories {
		standings := from.Standings(now)
		news, _ := from.News(0)
		for j, to := range directories {
			if i == j {
				continue
			}
			to.Tell(fmt.Sprint(i), standings, now, toldTime)
			for _, k := range news {
				to.TellKept(k.Server, []uint64{k.Part}, now)
			}
		}
	}
}

// prompt returns what a request wants whose chat has the number.
func prompt(chat uint64, tokens int) Want {
	part := func(id uint64, tokens int) clementineturn.Part {
		return clementineturn.NewPart(clementineturn.PartConfig{ID: id, Tokens: tokens})
	}
	return Want{
		Service: "pool", Input: 1000 + tokens,
		Shared: []clementineturn.Part{part(1000+chat%4, 900), part(chat, tokens)},
	}
}

func take(t *testing.T, d *Directory, w Want, now time.Time) *Lease {
	t.Helper()
	lease, err := d.Take(w, now)
	require.NoError(t, err)
	return lease
}

// Pattern: a hot chat. However much of the traffic one chat has, no server
// gets a request while it holds more than the multiple of the mean plus three.
func TestHotChatKeepsToBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	entries := fleet(4, 12, 128)
	now := epoch
	held := map[string]int{}
	total := 0
	var leases []*Lease
	for range 3000 {
		now = now.Add(5 * time.Millisecond)
		chat := rng.Uint64N(200)
		if rng.IntN(10) < 4 {
			chat = 1
		}
		lease := take(t, entries[rng.IntN(4)], prompt(chat, 1000), now)
		require.LessOrEqual(t, float64(held[lease.Server()]), 2*float64(total)/12+3)
		held[lease.Server()]++
		total++
		lease.Started()
		leases = append(leases, lease)
		if len(leases) > 60 {
			n := rng.IntN(len(leases))
			leases[n].Done(OutcomeServed, nil, now)
			held[leases[n].Server()]--
			total--
			leases = append(leases[:n], leases[n+1:]...)
		}
		exchange(entries, now)
	}
}

// Pattern: scale out. A chat stays at the server that keeps its prompt when
// servers join, at every entry.
func TestJoiningServersTakeNoChats(t *testing.T) {
	entries := fleet(3, 6, 128)
	home := map[uint64]string{}
	for chat := range uint64(50) {
		lease := take(t, entries[0], prompt(chat, 1000), epoch)
		home[chat] = lease.Server()
		lease.Started()
		lease.Done(OutcomeServed, nil, epoch)
		exchange(entries, epoch)
	}
	later := epoch.Add(10 * time.Second)
	for _, d := range entries {
		for n := 6; n < 12; n++ {
			d.Put(newRecord(n, 128))
		}
	}
	for chat := range uint64(50) {
		lease := take(t, entries[chat%3], prompt(chat, 1000), later)
		require.Equal(t, home[chat], lease.Server(), "chat %d", chat)
		lease.Done(OutcomeServed, nil, later)
	}
}

// Pattern: release. A chat whose server leaves goes elsewhere, and the new
// server is told to fetch the prompt from the one that leaves.
func TestMovedChatIsFetched(t *testing.T) {
	d := fleet(1, 6, 128)[0]
	first := take(t, d, prompt(9, 4000), epoch)
	first.Started()
	first.Done(OutcomeServed, nil, epoch)
	old := d.servers[first.Server()].record
	d.Put(NewRecord(RecordConfig{ID: old.ID(), Service: "pool", Address: old.Address(), Slots: 128, Leaving: true}))
	later := epoch.Add(time.Second)
	second := take(t, d, prompt(9, 4000), later)
	require.NotEqual(t, old.ID(), second.Server())
	require.Equal(t, old.Address(), second.Source())
	second.Done(OutcomeServed, nil, later)
	third := take(t, d, prompt(9, 4000), later.Add(time.Second))
	require.Equal(t, second.Server(), third.Server())
	require.Empty(t, third.Source(), "it keeps the prompt now")
}

// Pattern: cold start. Prompts that nobody keeps spread by what waits to be
// read, not by the luck of the hash: no server has more than twice the mean.
func TestColdPromptsSpread(t *testing.T) {
	entries := fleet(4, 12, 128)
	for chat := range uint64(120) {
		take(t, entries[chat%4], prompt(chat, 8000), epoch)
		exchange(entries, epoch)
	}
	most := 0
	for _, s := range entries[0].servers {
		most = max(most, s.unread+s.othersUnread)
	}
	require.LessOrEqual(t, most, 2*120*9000/12)
}

// Pattern: restart of all entries. Entries that know nothing choose the homes
// that others chose before, or engines read everything again.
func TestRestartedEntriesChooseAlike(t *testing.T) {
	before, after := fleet(1, 12, 128)[0], fleet(1, 12, 128)[0]
	for chat := range uint64(40) {
		a, b := take(t, before, prompt(chat, 500), epoch), take(t, after, prompt(chat, 500), epoch)
		require.Equal(t, a.Server(), b.Server())
		for _, lease := range []*Lease{a, b} {
			lease.Started()
			lease.Done(OutcomeServed, nil, epoch)
		}
	}
}

// A prompt that is being read somewhere is not read a second time elsewhere
// just because some other prompt waits there, too.
func TestPromptBeingReadIsNotReadTwice(t *testing.T) {
	d := fleet(1, 6, 128)[0]
	first := take(t, d, prompt(3, 8000), epoch)
	second := take(t, d, prompt(3, 8000), epoch.Add(time.Millisecond))
	require.Equal(t, first.Server(), second.Server())
	require.Empty(t, second.Source())
}

// Pattern: most servers sick at once. Found by khat-router inc-8445: the sound
// servers were all above the bound, whose mean counted the idle sick ones, and
// requests were refused with most places free.
func TestFewSoundServersAreNotFull(t *testing.T) {
	d := fleet(1, 12, 128)[0]
	for id, s := range d.servers {
		if id > "s03" {
			s.health.until = epoch.Add(time.Minute)
		}
	}
	for chat := range uint64(120) {
		lease := take(t, d, prompt(chat, 100), epoch)
		require.LessOrEqual(t, lease.Server(), "s03")
	}
}

// Requests without shared parts go to the least loaded server and are refused,
// truthfully, when all are full.
func TestPlainRequestsFillEvenly(t *testing.T) {
	d := fleet(1, 3, 6)[0]
	count := map[string]int{}
	for range 54 {
		count[take(t, d, Want{Service: "pool"}, epoch).Server()]++
	}
	require.Equal(t, map[string]int{"s00": 18, "s01": 18, "s02": 18}, count)
	_, err := d.Take(Want{Service: "pool"}, epoch)
	require.True(t, clementineturn.IsKind(err, clementineturn.KindOverloaded))
	require.True(t, clementineturn.IsNotRun(err))
	require.Positive(t, clementineturn.AsError(err).Retry())
}

func TestLeavingServersGetNothing(t *testing.T) {
	d := fleet(1, 1, 6)[0]
	d.Put(NewRecord(RecordConfig{ID: "s00", Service: "pool", Address: "10.0.0.0:80", Slots: 6, Leaving: true}))
	_, err := d.Take(Want{Service: "pool"}, epoch)
	require.True(t, clementineturn.IsKind(err, clementineturn.KindUnavailable))
	require.True(t, clementineturn.IsNotRun(err))
	_, err = d.Take(Want{Service: "none"}, epoch)
	require.True(t, clementineturn.IsNotRun(err))
}

// The pattern "one thing gets much of the traffic" (hot_key), found by the
// soak: the server that keeps the prompts of a few busy chats ran at the bound,
// and requests that other entries had just sent took it over.
func TestHotChatsLeaveTheirServerBelowTheBound(t *testing.T) {
	const bunch = 4
	directories := fleet(3, 4, 32)
	// Three chats that have one server as their home.
	var chats []uint64
	for chat := uint64(0); len(chats) < 3; chat++ {
		lease, err := fleet(1, 4, 32)[0].Take(prompt(chat, 300), epoch)
		require.NoError(t, err)
		if lease.Server() == newRecord(0, 32).ID() {
			chats = append(chats, chat)
		}
	}
	type running struct {
		lease *Lease
		until time.Time
	}
	var runs []running
	rng := rand.New(rand.NewPCG(9, 9))
	over, all := 0, 0
	for n := range 6000 {
		now := epoch.Add(time.Duration(n) * 5 * time.Millisecond)
		runs = slices.DeleteFunc(runs, func(r running) bool {
			if !now.Before(r.until) {
				r.lease.Done(OutcomeServed, nil, now)
			}
			return !now.Before(r.until)
		})
		if n%18 == 0 {
			exchange(directories, now)
		}
		if n%(3*bunch) != 0 {
			continue
		}
		for range bunch {
			lease, err := directories[rng.IntN(3)].Take(prompt(chats[rng.IntN(len(chats))], 300), now)
			require.NoError(t, err)
			lease.Started()
			runs = append(runs, running{lease, now.Add(160 * time.Millisecond)})
			load := 0
			for _, r := range runs {
				if r.lease.Server() == lease.Server() {
					load++
				}
			}
			if all++; float64(load) > 2*float64(len(runs))/4+boundFloor {
				over++
			}
		}
	}
	require.LessOrEqual(t, float64(over), 0.03*float64(all), "%d of %d over the bound", over, all)
}

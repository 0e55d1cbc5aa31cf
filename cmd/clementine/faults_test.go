package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// whenStreaming returns a watcher that acts once a few events have arrived.
func whenStreaming(act func()) func(string) {
	var once sync.Once
	return func(body string) {
		if strings.Count(body, "data: ") >= 4 {
			once.Do(act)
		}
	}
}

// An entry dies in the middle of a stream: the caller resumes through the
// other entry and holds the same bytes as an undisturbed caller.
func TestKillEntryMidStream(t *testing.T) {
	f := startFleet(t, 1)
	whole := f.chat("entry-2", "is the crib still there?", "")
	require.True(t, whole.isWhole(), whole.body)

	cut := f.chat("entry-1", "is the crib still there?", "", whenStreaming(func() { f.kill("entry-1") }))
	require.False(t, cut.isWhole(), "a cut stream never looks whole")
	require.NotEmpty(t, cut.last)
	rest := f.chat("entry-2", "", cut.last)
	require.True(t, rest.isWhole(), "%d %s", rest.status, rest.body)
	require.Equal(t, whole.text(), cut.text()+rest.text())
}

// A sidecar dies in the middle of a stream: the caller is told, and the chat
// is served by another engine.
func TestKillSidecarMidStream(t *testing.T) {
	f := startFleet(t, 2)
	where := f.chat("entry-1", "do you have fog fluid?", "").server
	cut := f.chat("entry-1", "do you have fog fluid?", "", whenStreaming(func() { f.kill("sidecar-" + where) }))
	require.False(t, cut.isWhole(), "a cut stream never looks whole")
	require.Contains(t, cut.body, `"error"`, "the caller is told")
	f.until("another engine serves the chat", func() bool {
		again := f.chat("entry-1", "do you have fog fluid?", "")
		return again.isWhole() && again.server != where
	})
}

// A sidecar dies while a reserve runs. Nobody runs it again; an operator
// resolves it and repeats get the answer.
func TestKillSidecarMidReserve(t *testing.T) {
	f := startFleet(t, 3)
	where := f.reserve("entry-1", "probe").server
	done := make(chan *answer, 1)
	go func() { done <- f.reserve("entry-1", "cot-7") }()
	f.until("the reserve runs", func() bool { return f.runs("cot-7") == 1 })
	holder := f.holderOf("cot-7", where)
	f.kill("sidecar-" + holder)
	first := <-done
	require.NotEqual(t, http.StatusOK, first.status)
	require.NotContains(t, first.body, `"not_run":true`, "the reserve ran")
	f.startNode("sidecar-" + holder)
	f.until("a repeat is told that the outcome is open", func() bool {
		repeat := f.reserve("entry-2", "cot-7")
		require.NotEqual(t, http.StatusOK, repeat.status, repeat.body)
		return strings.Contains(repeat.body, `"in_progress"`) || strings.Contains(repeat.body, `"unknown"`)
	})
	f.until("an operator resolves it", func() bool {
		_, err := f.ctl(`{"done":true}`, "claim", "resolve", "khat", "cot-7", "--ran", "--answer", "-")
		return err == nil
	})
	f.until("a repeat gets the resolved answer", func() bool { return f.reserve("entry-2", "cot-7").status == http.StatusOK })
	require.Equal(t, 1, f.runs("cot-7"))
}

// holderOf returns which service ran a key that ran once.
func (f *fleet) holderOf(key, likely string) string {
	for _, name := range []string{likely, "order-1", "order-2"} {
		response, err := http.Get(f.url(name, "/runs"))
		require.NoError(f.t, err)
		a := &answer{}
		a.read(response.Body, nil)
		_ = response.Body.Close()
		if strings.Contains(a.body, `"`+key+`"`) {
			return name
		}
	}
	f.t.Fatalf("nobody ran %s", key)
	return ""
}

// The holder of a claim is frozen while the caller repeats the reserve
// elsewhere; it wakes and finishes, and repeats replay its answer.
func TestFreezeClaimHolder(t *testing.T) {
	f := startFleet(t, 4)
	where := f.reserve("entry-1", "probe").server
	done := make(chan *answer, 1)
	go func() { done <- f.reserve("entry-1", "cot-8") }()
	f.until("the reserve runs", func() bool { return f.runs("cot-8") == 1 })
	holder := f.holderOf("cot-8", where)
	f.signal("sidecar-"+holder, syscall.SIGSTOP)
	f.until("a repeat is told to wait", func() bool {
		repeat := f.reserve("entry-2", "cot-8")
		require.NotEqual(t, http.StatusOK, repeat.status, repeat.body)
		return strings.Contains(repeat.body, `"in_progress"`)
	})
	f.signal("sidecar-"+holder, syscall.SIGCONT)
	f.until("a repeat gets the holder's answer", func() bool { return f.reserve("entry-2", "cot-8").status == http.StatusOK })
	<-done
	require.Equal(t, 1, f.runs("cot-8"))
}

// The platform is down for longer than every lease: chats go on, reserves are
// refused as not run, the configuration stays, and all is well afterwards.
func TestPlatformOutage(t *testing.T) {
	f := startFleet(t, 5)
	f.fault("platform", `{"table":{"down":true},"hosts":{"down":true},"objects":{"down":true}}`)
	end := time.Now().Add(8 * time.Second)
	f.until("the outage is over", func() bool {
		chat := f.chat("entry-1", "still there?", "")
		require.True(t, chat.isWhole(), "%d %s", chat.status, chat.body)
		reserve := f.reserve("entry-2", "outage")
		require.NotEqual(t, http.StatusOK, reserve.status)
		require.Contains(t, reserve.body, `"not_run":true`)
		return time.Now().After(end)
	})
	require.Zero(t, f.runs("outage"))
	f.fault("platform", `{}`)
	f.until("reserves are served again", func() bool { return f.reserve("entry-2", "outage").status == http.StatusOK })
	require.Equal(t, 1, f.runs("outage"))
}

// Entry and sidecar are told to stop, twice each, in the middle of a stream
// and of a reserve: both end whole and the processes exit with 0.
func TestGracefulShutdown(t *testing.T) {
	f := startFleet(t, 6)
	where := f.chat("entry-1", "quote me forty litres", "").server
	reserved := make(chan *answer, 1)
	var stopped sync.WaitGroup
	chat := f.chat("entry-1", "quote me forty litres", "", whenStreaming(func() {
		go func() { reserved <- f.reserve("entry-2", "cot-9") }()
		f.until("the reserve runs", func() bool { return f.runs("cot-9") == 1 })
		for _, name := range []string{"entry-1", "entry-2", "sidecar-" + where, "sidecar-" + f.holderOf("cot-9", "order-1")} {
			process := f.processes[name]
			f.signal(name, syscall.SIGTERM)
			f.signal(name, syscall.SIGTERM)
			delete(f.processes, name)
			stopped.Go(func() {
				if err := process.Wait(); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			})
		}
	}))
	require.True(t, chat.isWhole(), chat.body)
	reserve := <-reserved
	require.Equal(t, http.StatusOK, reserve.status, reserve.body)
	stopped.Wait()
	require.Equal(t, 1, f.runs("cot-9"))
}

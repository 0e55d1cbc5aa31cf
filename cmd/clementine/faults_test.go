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

// onceStreaming returns a callback that calls act once a few events have
// arrived.
func onceStreaming(act func()) func(string) {
	var once sync.Once
	return func(body string) {
		if strings.Count(body, "data: ") >= 4 {
			once.Do(act)
		}
	}
}

// TestKillEntryMidStream kills an entry in the middle of a stream: the caller
// resumes at the other entry and receives the same text as without a fault.
func TestKillEntryMidStream(t *testing.T) {
	f := startFleet(t, 1)
	uncut := f.chat("entry-2", "is the crib still there?", "")
	require.True(t, uncut.isComplete(), uncut.body)

	cut := f.chat("entry-1", "is the crib still there?", "", onceStreaming(func() { f.kill("entry-1") }))
	require.False(t, cut.isComplete(), "a cut stream never looks whole")
	require.NotEmpty(t, cut.lastEventID)
	rest := f.chat("entry-2", "", cut.lastEventID)
	require.True(t, rest.isComplete(), "%d %s", rest.status, rest.body)
	require.Equal(t, uncut.text(), cut.text()+rest.text())
}

// TestKillSidecarMidStream kills a sidecar in the middle of a stream: the caller
// gets an error event, and a retry is served by another engine.
func TestKillSidecarMidStream(t *testing.T) {
	f := startFleet(t, 2)
	where := f.chat("entry-1", "do you have fog fluid?", "").server
	cut := f.chat("entry-1", "do you have fog fluid?", "", onceStreaming(func() { f.kill("sidecar-" + where) }))
	require.False(t, cut.isComplete(), "a cut stream never looks whole")
	require.Contains(t, cut.body, `"error"`, "the caller gets an error event")
	f.eventually("another engine serves the chat", func() bool {
		again := f.chat("entry-1", "do you have fog fluid?", "")
		return again.isComplete() && again.server != where
	})
}

// TestKillSidecarMidReserve kills a sidecar while a call runs. No other sidecar
// runs it; an operator resolves the claim and retries get the answer.
func TestKillSidecarMidReserve(t *testing.T) {
	f := startFleet(t, 3)
	where := f.reserve("entry-1", "probe").server
	done := make(chan *callerResponse, 1)
	go func() { done <- f.reserve("entry-1", "cot-7") }()
	f.eventually("the reserve runs", func() bool { return f.runs("cot-7") == 1 })
	holder := f.serviceThatRan("cot-7", where)
	f.kill("sidecar-" + holder)
	first := <-done
	require.NotEqual(t, http.StatusOK, first.status)
	require.NotContains(t, first.body, `"not_run":true`, "the reserve ran")
	f.startNode("sidecar-" + holder)
	f.eventually("a retry reports that the outcome is still open", func() bool {
		retry := f.reserve("entry-2", "cot-7")
		require.NotEqual(t, http.StatusOK, retry.status, retry.body)
		return strings.Contains(retry.body, `"in_progress"`) || strings.Contains(retry.body, `"unknown"`)
	})
	f.eventually("an operator resolves it", func() bool {
		_, err := f.ctl(`{"done":true}`, "claim", "resolve", "khat", "cot-7", "--ran", "--answer", "-")
		return err == nil
	})
	f.eventually("a retry gets the resolved answer", func() bool { return f.reserve("entry-2", "cot-7").status == http.StatusOK })
	require.Equal(t, 1, f.runs("cot-7"))
}

// serviceThatRan returns the service that ran the call of a key.
func (f *fleet) serviceThatRan(key, likely string) string {
	for _, name := range []string{likely, "order-1", "order-2"} {
		response, err := http.Get(f.url(name, "/runs"))
		require.NoError(f.t, err)
		a := &callerResponse{}
		a.read(response.Body, nil)
		_ = response.Body.Close()
		if strings.Contains(a.body, `"`+key+`"`) {
			return name
		}
	}
	f.t.Fatalf("nobody ran %s", key)
	return ""
}

// TestFreezeClaimHolder stops the sidecar that holds a claim while the caller
// retries at another entry. The sidecar continues and completes the call, and
// retries replay its answer.
func TestFreezeClaimHolder(t *testing.T) {
	f := startFleet(t, 4)
	where := f.reserve("entry-1", "probe").server
	done := make(chan *callerResponse, 1)
	go func() { done <- f.reserve("entry-1", "cot-8") }()
	f.eventually("the reserve runs", func() bool { return f.runs("cot-8") == 1 })
	holder := f.serviceThatRan("cot-8", where)
	f.signal("sidecar-"+holder, syscall.SIGSTOP)
	f.eventually("a retry is refused and has to wait", func() bool {
		retry := f.reserve("entry-2", "cot-8")
		require.NotEqual(t, http.StatusOK, retry.status, retry.body)
		return strings.Contains(retry.body, `"in_progress"`)
	})
	f.signal("sidecar-"+holder, syscall.SIGCONT)
	f.eventually("a retry gets the holder's answer", func() bool { return f.reserve("entry-2", "cot-8").status == http.StatusOK })
	<-done
	require.Equal(t, 1, f.runs("cot-8"))
}

// TestPlatformOutage takes the platform down for longer than every lease: chats
// are served with the last configuration, calls are refused as not run, and
// both are served after the outage.
func TestPlatformOutage(t *testing.T) {
	f := startFleet(t, 5)
	f.setFaults("platform", `{"table":{"down":true},"hosts":{"down":true},"objects":{"down":true}}`)
	end := time.Now().Add(8 * time.Second)
	f.eventually("the outage is over", func() bool {
		chat := f.chat("entry-1", "still there?", "")
		require.True(t, chat.isComplete(), "%d %s", chat.status, chat.body)
		reserve := f.reserve("entry-2", "outage")
		require.NotEqual(t, http.StatusOK, reserve.status)
		require.Contains(t, reserve.body, `"not_run":true`)
		return time.Now().After(end)
	})
	require.Zero(t, f.runs("outage"))
	f.setFaults("platform", `{}`)
	f.eventually("reserves are served again", func() bool { return f.reserve("entry-2", "outage").status == http.StatusOK })
	require.Equal(t, 1, f.runs("outage"))
}

// TestGracefulShutdown sends entries and sidecars two stop signals each in the
// middle of a stream and of a call: both complete and the processes exit with 0.
func TestGracefulShutdown(t *testing.T) {
	f := startFleet(t, 6)
	where := f.chat("entry-1", "quote me forty litres", "").server
	reserved := make(chan *callerResponse, 1)
	var stopped sync.WaitGroup
	chat := f.chat("entry-1", "quote me forty litres", "", onceStreaming(func() {
		go func() { reserved <- f.reserve("entry-2", "cot-9") }()
		f.eventually("the reserve runs", func() bool { return f.runs("cot-9") == 1 })
		for _, name := range []string{"entry-1", "entry-2", "sidecar-" + where, "sidecar-" + f.serviceThatRan("cot-9", "order-1")} {
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
	require.True(t, chat.isComplete(), chat.body)
	reserve := <-reserved
	require.Equal(t, http.StatusOK, reserve.status, reserve.body)
	stopped.Wait()
	require.Equal(t, 1, f.runs("cot-9"))
}

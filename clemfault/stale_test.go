package clemfault

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Guards against a second run of a call that is no longer idempotent. An entry with
// an old configuration offers the call as idempotent; the sidecars have the new one
// and refuse the offers until the entry has applied it.
func TestStaleOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		rule := &clemwire.Rule{Name: "reserve", Service: "orders", Call: "reserve", Mode: clemwire.Mode_MODE_IDEMPOTENT}
		entity := &clemwire.Entity{Kind: &clemwire.Entity_Rule{Rule: rule}}
		generation, err := f.commit(clemwire.Action_ACTION_CREATE, entity)
		require.NoError(t, err)
		time.Sleep(maxChangeDelay)

		// Polls start on whole seconds, so that none is in progress now.
		time.Sleep(maxChangeDelay/2 + 300*time.Millisecond)
		synctest.Wait()
		f.isolate("entry-1")
		rule.Mode, rule.Generation = clemwire.Mode_MODE_AT_MOST_ONCE, generation
		_, err = f.commit(clemwire.Action_ACTION_UPDATE, entity)
		require.NoError(t, err)
		time.Sleep(maxChangeDelay)
		require.Equal(t, generation, f.node("entry-1").generation(), "the entry has the old configuration")

		for range 2 {
			r := f.request("entry-1", "/v1/services/orders/reserve", `{"cot":7}`, map[string]string{"Idempotency-Key": "stale"})
			assert.Equal(t, 200, r.status, r.body)
		}
		assert.Equal(t, 1, f.runs("stale"), "the reserve ran once")
		assert.Greater(t, f.node("entry-1").generation(), generation, "the entry applied the new configuration after the refusal")
	})
}

// Guards against refusals when the table becomes unavailable right after an entry
// accepted a change. The entry sends the change to the sidecars with its offers, and
// the call must be served at its first try.
func TestChangeBeforeOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		n := f.node("entry-1")
		pool := proto.CloneOf(n.board.Config().Get().Pool("chat"))
		pool.Bound = 3
		state, generation, err := n.config.Commit(n.ctx, n.board.Config().Get(), &clemwire.Change{
			Id: "before-outage", Action: clemwire.Action_ACTION_UPDATE, Entity: &clemwire.Entity{Kind: &clemwire.Entity_Pool{Pool: pool}},
		})
		require.NoError(t, err)
		f.table.Inject(clemstandin.TableFaults{Down: true})
		n.relay.Adopt(state)
		body := `{"model":"llama","stream":true,"messages":[{"role":"user","content":"now"}]}`
		r := f.request("entry-1", "/v1/chat/completions", body, nil)
		assert.Equal(t, 200, r.status, r.body)
		assert.Equal(t, generation, n.generation())
	})
}

// isolate cuts a process off from the table and from its peers' configuration.
func (f *fleet) isolate(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolatedNode = name
}

func (f *fleet) isIsolated(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolatedNode == name
}

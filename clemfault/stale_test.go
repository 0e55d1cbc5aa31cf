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

// An entry that is cut off from the configuration still thinks a call is
// idempotent. The sidecars know better and refuse its offers until it learned.
func TestStaleOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		rule := &clemwire.Rule{Name: "reserve", Service: "orders", Call: "reserve", Mode: clemwire.Mode_MODE_IDEMPOTENT}
		entity := &clemwire.Entity{Kind: &clemwire.Entity_Rule{Rule: rule}}
		generation, err := w.commit(clemwire.Action_ACTION_CREATE, entity)
		require.NoError(t, err)
		time.Sleep(inForce)

		// Polls run on whole seconds: none is under way in between.
		time.Sleep(inForce/2 + 300*time.Millisecond)
		synctest.Wait()
		w.isolate("entry-1")
		rule.Mode, rule.Generation = clemwire.Mode_MODE_AT_MOST_ONCE, generation
		_, err = w.commit(clemwire.Action_ACTION_UPDATE, entity)
		require.NoError(t, err)
		time.Sleep(inForce)
		require.Equal(t, generation, w.node("entry-1").generation(), "the entry holds the old configuration")

		for range 2 {
			r := w.ask("entry-1", "/v1/services/orders/reserve", `{"cot":7}`, map[string]string{"Idempotency-Key": "stale"})
			assert.Equal(t, 200, r.status, r.body)
		}
		assert.Equal(t, 1, w.runs("stale"), "the reserve ran once")
		assert.Greater(t, w.node("entry-1").generation(), generation, "the entry learned from the refusal")
	})
}

// The table goes down right after an entry accepted a change. The entry passes
// the change on with its offers, and the call is served at its first try.
func TestChangeBeforeOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		n := w.node("entry-1")
		pool := proto.CloneOf(n.board.Config().Get().Pool("chat"))
		pool.Bound = 3
		state, generation, err := n.config.Commit(n.ctx, n.board.Config().Get(), &clemwire.Change{
			Id: "before-outage", Action: clemwire.Action_ACTION_UPDATE, Entity: &clemwire.Entity{Kind: &clemwire.Entity_Pool{Pool: pool}},
		})
		require.NoError(t, err)
		w.table.Inject(clemstandin.TableFaults{Down: true})
		n.relay.Adopt(state)
		body := `{"model":"llama","stream":true,"messages":[{"role":"user","content":"now"}]}`
		r := w.ask("entry-1", "/v1/chat/completions", body, nil)
		assert.Equal(t, 200, r.status, r.body)
		assert.Equal(t, generation, n.generation())
	})
}

// isolate keeps a process from the table and from its parents' news.
func (w *world) isolate(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isolated = name
}

func (w *world) isIsolated(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isolated == name
}

package clementry

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemwire"
)

// A hedge plans the request concurrently with the first attempt. The race
// detector finds unguarded access to the task.
func TestConcurrentAttemptsPlan(t *testing.T) {
	task := newTask("r", "cribs", func(*clemconfig.State) (*plan, error) {
		return &plan{offer: &clemwire.Offer{Pool: "chats"}}, nil
	})
	require.Empty(t, task.plannedPool())
	var attempts sync.WaitGroup
	for range 2 {
		attempts.Go(func() {
			_, err := task.plan(t.Context(), clemconfig.Empty())
			require.NoError(t, err)
		})
	}
	attempts.Wait()
	require.Equal(t, "chats", task.plannedPool())
}

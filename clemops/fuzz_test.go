package clemops

import (
	"context"
	"fmt"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// FuzzCreate checks that every request is either committed and then present in
// the configuration, or refused with a kind other than internal and without
// effect.
func FuzzCreate(f *testing.F) {
	f.Add([]byte(`{"id":"1","entity":{"organisation":{"name":"acme","weight":1,"queue":1,"objective":{"availability":0.9,"first":"1s","share":0.9}}}}`))
	f.Add([]byte(`{"id":"1","entity":{"pool":{"name":"p","kind":2,"bound":"NaN","slots":1,"long_cost":"1","long_share":1}}}`))
	f.Add([]byte(`{"id":"1","entity":{"rule":{"name":"r","service":"s","call":"*","mode":1,"timeout":"-1s"}}}`))
	f.Add([]byte(`{"id":"1","entity":{"drain":{"server":"\u0000"}}}`))
	f.Add([]byte(`{"id":"1","entity":{"organisation":{"name":"a","weight":1,"queue":1,"keys":[null,{"name":"k","digest":"AA=="}]}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		request := &clemwire.CreateRequest{}
		if (strictJSON{}).Unmarshal(data, request) != nil {
			return
		}
		board := clemboard.New()
		h := New(Config{Board: board, Log: clemconfig.NewLog(clemconfig.LogConfig{Table: clemstandin.NewTable()}), OnNewState: board.Config().Set})
		_, err := h.Create(context.Background(), connect.NewRequest(request))
		state, stateErr := h.state(context.Background())
		require.NoError(t, stateErr)
		if err != nil {
			require.NotEqual(t, clementineturn.KindInternal, clementineturn.AsError(err).Kind(), "%v", err)
			require.Zero(t, state.Generation())
			return
		}
		require.EqualValues(t, 1, state.Generation())
		require.Equal(t, clemconfig.Name(request.GetEntity()), clemconfig.Name(state.Snapshot().GetEntities()[0]))
	})
}

func ExampleFromError() {
	// The error of a Connect client when a field is refused.
	err := connectError(clementineturn.Invalid("pool.bound", "found 0.5, allowed is 1.05 to 10"))
	e := FromError(err)
	fmt.Println(err.Code(), e.Kind(), e.Field(), e.NotRun())
	// Output: invalid_argument invalid pool.bound true
}

package clemfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
	"github.com/clementineturn/clementineturn/clemsite"
)

// Guards against servers that count as cold in a deployment whose settings or configuration
// do not ask for it.
func TestColdFiguresNeedSettingsAndConfiguration(t *testing.T) {
	configuration, err := clemroute.New(clemroute.Config{Services: []clemroute.ServiceConfig{{Name: "cold", ColdRate: 15, ColdStart: 12 * time.Second}, {Name: "warm"}}})
	require.NoError(t, err)
	settings := func(factor float64) *clemsite.Settings {
		return clemsite.NewSettings(clemsite.SettingsConfig{HeartbeatInterval: time.Second, Bounds: clemsite.NewBounds(clemsite.BoundsConfig{ColdFactor: factor, ColdSlack: 5})})
	}
	require.Equal(t, clempool.ColdFigures{Limit: 27.5, StartTime: 12 * time.Second, Heartbeat: time.Second}, coldFigures(configuration, settings(1.5), "cold"))
	for _, figures := range []clempool.ColdFigures{
		coldFigures(nil, settings(1.5), "cold"), coldFigures(configuration, settings(0), "cold"),
		coldFigures(configuration, settings(1.5), "warm"), coldFigures(configuration, settings(1.5), "none"),
	} {
		require.Zero(t, figures)
	}
	_, isComplete := (&peerView{}).entries()
	require.False(t, isComplete, "the entries are not known before the exchange of state is assembled")
}

package clemroute_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemroute"
)

// The route with the longest matching prefix is used.
func ExampleConfiguration_Route() {
	route := func(name, prefix string) clemroute.RouteConfig {
		return clemroute.RouteConfig{Name: name, Host: "shop.example", Prefix: prefix, Targets: []clemroute.Target{clemroute.NewTarget("app", 1)}}
	}
	configuration, err := clemroute.New(clemroute.Config{
		Version:  1,
		Routes:   []clemroute.RouteConfig{route("all", "/"), route("stock", "/stock/")},
		Services: []clemroute.ServiceConfig{{Name: "app"}},
	})
	fmt.Println(err, configuration.Route("shop.example:80", "/stock/7").Name(), configuration.Route("SHOP.example", "/stock").Name())
	// Output: <nil> stock all
}

// Targets are chosen in proportion to their weights.
func TestTargetsAreChosenByWeight(t *testing.T) {
	r := clemroute.NewRoute(clemroute.RouteConfig{Targets: []clemroute.Target{clemroute.NewTarget("a", 3), clemroute.NewTarget("b", 1)}})
	counts := map[string]int{}
	for random := range uint64(400) {
		counts[r.PickService(random)]++
	}
	require.Equal(t, map[string]int{"a": 300, "b": 100}, counts)
	none := clemroute.NewRoute(clemroute.RouteConfig{Targets: []clemroute.Target{clemroute.NewTarget("a", 0)}})
	require.Equal(t, "a", none.PickService(5))
}

// Only a newer version replaces the current configuration.
func TestTableVersionNeverDecreases(t *testing.T) {
	version := func(v uint64) *clemroute.Configuration {
		c, err := clemroute.New(clemroute.Config{Version: v})
		require.NoError(t, err)
		return c
	}
	table := &clemroute.Table{}
	require.Zero(t, table.Version())
	for _, step := range []struct {
		version uint64
		applied bool
	}{{3, true}, {2, false}, {3, false}, {9, true}} {
		require.Equal(t, step.applied, table.Apply(version(step.version)))
	}
	require.Equal(t, uint64(9), table.Version())
}

package clemgate_test

import (
	"fmt"
	"time"

	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemgate"
)

// A sidecar asks for admission, waits for the decision, runs granted work and
// then releases it.
func Example() {
	now := time.Now()
	gate := clemgate.New(clemgate.Config{Server: "engine-1"})
	gate.SetLimits(now, clemgate.NewLimits(clemgate.LimitsConfig{
		Slots: 1, MaxLoadFactor: 2, LongCost: 700, LongShare: 0.375, LoadKnown: true,
		Load: clemboard.NewLoad(clemboard.LoadConfig{Servers: 1, OldestReport: now}),
	}))
	item := clemgate.NewItem(clemgate.ItemConfig{Organisation: "howrah", Weight: 10, QueueLimit: 1, PromptTokens: 160, OutputTokens: 40})
	first, _ := gate.Acquire(now, item)
	second, _ := gate.Acquire(now, item)
	_, err := gate.Acquire(now, item)
	fmt.Println(gate.Report().Load(), gate.Report().Running(), gate.Report().Waiting())
	fmt.Println(err)
	gate.Release(now.Add(time.Second), first)
	<-second.Decided()
	fmt.Println(second.Err())
	// Output:
	// 50 1 1
	// overloaded: engine-1 holds 1 waiting items of the organisation
	// <nil>
}

package clemquarantine_test

import (
	"fmt"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemquarantine"
)

// A part is quarantined once three servers ended when they began to answer it.
func ExampleTracker() {
	tracker := clemquarantine.New(clemquarantine.Config{})
	parts := []clementineturn.PromptPart{clementineturn.NewPromptPart(clementineturn.PromptPartConfig{ID: 0xdead})}
	now := time.Now()
	for _, server := range []string{"s1", "s2", "s3"} {
		attempt := tracker.Start(clemquarantine.AttemptConfig{Service: "chat", Parts: parts, Server: server, Cancel: func() {}})
		attempt.Begin(now)
		attempt.End(clemquarantine.ResultCrashed, now)
		now = now.Add(time.Second)
	}
	fmt.Println(tracker.Check("chat", parts, now))
	// Output:
	// quarantined: prompt part dead crashed 3 servers of service chat; prompts with it are refused for 5m0s after the last one
}

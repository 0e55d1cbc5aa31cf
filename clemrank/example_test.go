package clemrank_test

import (
	"fmt"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemrank"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Every entry ranks the servers alike for all turns of a chat. When the first
// choice is removed, the chat moves to the second.
func ExampleNew() {
	hosts := []*clemwire.Host{{Name: "engine-1"}, {Name: "engine-2"}, {Name: "engine-3"}}
	work := clementineturn.NewRoutingKey("chat", "howrah", 42)
	ranked := clemrank.New(clemrank.Config{MaxHosts: 2}).Rank(work, hosts)
	fmt.Println(ranked[0].GetName(), ranked[1].GetName())
	without := clemrank.New(clemrank.Config{MaxHosts: 1}).Rank(work, ranked[1:])
	fmt.Println(without[0].GetName() == ranked[1].GetName())
	// Output:
	// engine-1 engine-2
	// true
}

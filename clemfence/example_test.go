package clemfence_test

import (
	"context"
	"fmt"

	"github.com/clementineturn/clementineturn/clemfence"
	"github.com/clementineturn/clementineturn/clemstandin"
)

// Each start of a sidecar gets a new incarnation number.
func ExampleNextIncarnation() {
	table := clemstandin.NewTable()
	for range 2 {
		fmt.Println(clemfence.NextIncarnation(context.Background(), table, "engine-1"))
	}
	// Output:
	// 1 <nil>
	// 2 <nil>
}

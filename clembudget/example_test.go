package clembudget_test

import (
	"fmt"

	"github.com/clementineturn/clementineturn/clembudget"
)

// Retries may add a tenth to the number of requests.
func ExampleBudget() {
	retries := clembudget.New(clembudget.Config{Share: 0.1, Burst: 1})
	fmt.Println(retries.Spend(1), retries.Spend(1))
	for range 10 {
		retries.Earn(1)
	}
	fmt.Println(retries.Spend(0.5), retries.Spend(1))
	// Output:
	// true false
	// true false
}

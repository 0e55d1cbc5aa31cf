package clembudget_test

import (
	"fmt"

	"github.com/clementineturn/clementineturn/clembudget"
)

// Retries may add a tenth to the number of requests.
func ExampleBudget() {
	retries := clembudget.New(clembudget.Config{Ratio: 0.1, Burst: 1})
	fmt.Println(retries.TryWithdraw(1), retries.TryWithdraw(1))
	for range 10 {
		retries.Deposit(1)
	}
	fmt.Println(retries.TryWithdraw(0.5), retries.TryWithdraw(1))
	// Output:
	// true false
	// true false
}

package clemmetric_test

import (
	"fmt"

	"github.com/clementineturn/clementineturn/clemmetric"
)

func ExampleLabelLimiter() {
	label := clemmetric.NewLabelLimiter(2)
	fmt.Println(label.Of("a"), label.Of("b"), label.Of("c"), label.Of("a"))
	// Output: a b other a
}

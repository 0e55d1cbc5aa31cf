package clemmetric_test

import (
	"fmt"
	"net/http/httptest"

	"github.com/clementineturn/clementineturn/clemmetric"
)

func ExampleRegistry_Text() {
	registry := clemmetric.New()
	registry.Counter("offers_total", "pool", "cribs").Inc(2)
	w := httptest.NewRecorder()
	registry.Text().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	fmt.Print(w.Body)
	// Output:
	// # TYPE clementine_offers_total counter
	// clementine_offers_total{pool="cribs"} 2
}

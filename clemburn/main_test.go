package clemburn

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// A fixed seed makes the property tests reproducible; -rapid.seed
	// overrides it.
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

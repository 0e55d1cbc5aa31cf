package clemburn

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// A fixed seed makes the random tests repeat; -rapid.seed sets another.
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

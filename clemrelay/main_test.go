package clemrelay

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// seed makes the random tests reproducible. -rapid.seed sets another one.
const seed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set(seed)
	}
	goleak.VerifyTestMain(m)
}

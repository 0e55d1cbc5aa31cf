package clemspread

import (
	"flag"
	"testing"
)

// seed makes the random tests reproducible; -rapid.seed sets another.
const seed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	m.Run()
}

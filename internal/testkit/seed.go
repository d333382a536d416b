package testkit

import (
	"flag"
	"os"
	"testing"
)

// Seed is the seed of rapid's checks; the flag -rapid.seed sets another.
const Seed = "20261202"

// Seeded runs a package's tests with rapid's seed fixed, so that a verdict is
// the same every time. Call it from TestMain.
func Seeded(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(Seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

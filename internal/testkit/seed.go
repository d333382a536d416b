package testkit

import (
	"flag"
	"os"
	"testing"
)

// RapidSeed is the seed of rapid's checks; the flag -rapid.seed sets another.
const RapidSeed = "20261202"

// RunWithFixedSeed runs a package's tests with rapid's seed fixed, so that a verdict is
// the same every time. Call it from TestMain.
func RunWithFixedSeed(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(RapidSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

package testkit

import (
	"flag"
	"os"
	"testing"
)

// RapidSeed is the default seed of rapid's property checks; the flag -rapid.seed overrides it.
const RapidSeed = "20261202"

// RunWithFixedSeed runs a package's tests with a fixed rapid seed, so that their
// results are reproducible, and exits. Call it from TestMain.
func RunWithFixedSeed(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(RapidSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Package testseed makes property-based tests that use rapid reproducible.
package testseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs the tests of a package and exits; TestMain must call it. It sets rapid's seed and, if checks is positive,
// its number of checks per property. It disables rapid's failure files, which would add cases to later runs.
func Main(m *testing.M, seed, checks int) {
	flag.Parse()
	set := func(name, value string) {
		if err := flag.Set("rapid."+name, value); err != nil { // the tests do not import rapid, which defines the flags
			panic(err)
		}
	}
	set("seed", strconv.Itoa(seed))
	set("nofailfile", "true")
	if checks > 0 {
		set("checks", strconv.Itoa(checks))
	}
	os.Exit(m.Run())
}

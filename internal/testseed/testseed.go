// Package testseed makes the random runs of a package's tests reproducible.
package testseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs the tests of a package and exits; TestMain must call it. It sets rapid's seed and, if checks is not 0,
// its number of checks per property, and disables rapid's failure files.
func Main(m *testing.M, seed, checks int) {
	flag.Parse()
	set := func(name, value string) {
		if err := flag.Set("rapid."+name, value); err != nil { // the package's tests do not use rapid
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

// Package testseed makes the random runs of a package's tests the same every time.
package testseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main is what a package's TestMain calls: rapid draws from a seed, makes so many checks of each property (0: its own
// default), and keeps no file of a failure.
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

// Package proptest runs the property tests of a package from a fixed seed, so that they give the same result every time. A package with such
// tests calls Main from its TestMain. It is for tests only.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"testing"

	_ "pgregory.net/rapid" // its flags
)

// Main is a TestMain. It sets the seed to 1 and the number of checks to the given one, unless the command line sets them, and exits with
// status 2 if the library rejects one of these flags or its value.
func Main(m *testing.M, checks string) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := setUnlessGiven(name, value); err != nil {
			fmt.Fprintln(os.Stderr, "proptest:", err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

func setUnlessGiven(name, value string) error {
	known := flag.Lookup(name)
	if known == nil {
		return fmt.Errorf("no flag -%s", name)
	}
	if known.Value.String() != known.DefValue {
		return nil
	}
	return flag.Set(name, value)
}

// Package proptest runs the property tests of a package from a fixed seed, so that they give the same verdict every time. It is for
// tests only.
package proptest

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // its flags
)

// Main is a TestMain with a seed of 1 and the given number of checks, where the command line does not say otherwise.
func Main(m *testing.M, checks string) {
	flag.Parse()
	for name, v := range map[string]string{"rapid.seed": "1", "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			flag.Set(name, v)
		}
	}
	os.Exit(m.Run())
}

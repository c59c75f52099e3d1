// Package seed fixes the seed of property tests, so that every run of the
// suite gives the same verdict.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }
//
// Long runs on fresh seeds: go test -rapid.checks=N -rapid.seed=0.
package seed

import (
	"flag"
	"fmt"
	"testing"
)

// fixed is the seed of the suite.
const fixed = "20261204"

// Run runs the tests of a package that uses rapid, with the fixed seed unless
// one is given.
func Run(m *testing.M) int {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", fixed); err != nil {
			panic(fmt.Sprintf("fix seed: %v", err))
		}
	}
	return m.Run()
}

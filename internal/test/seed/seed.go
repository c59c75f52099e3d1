// Package seed runs property tests with a fixed random seed, so that their result
// is the same in every run.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }
//
// To run N checks with a new random seed:
//
//	go test -rapid.checks=N -rapid.seed=0
package seed

import (
	"flag"
	"fmt"
	"testing"
)

// defaultSeed is the seed if the flag -rapid.seed is not set.
const defaultSeed = "20261204"

// Run runs the tests of a package that uses the rapid library and returns the exit
// code. It sets the flag -rapid.seed to the fixed seed unless the flag is given.
func Run(m *testing.M) int {
	flag.Parse()
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == "rapid.seed" })
	if !isSet {
		if err := flag.Set("rapid.seed", defaultSeed); err != nil {
			panic(fmt.Sprintf("set flag -rapid.seed: %v", err))
		}
	}
	return m.Run()
}

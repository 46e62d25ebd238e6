package fold

import (
	"flag"
	"os"
	"testing"
)

const defaultSeed = "42"

// TestMain gives the property tests a fixed seed unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", defaultSeed)
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

package queue

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

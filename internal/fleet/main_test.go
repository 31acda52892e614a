package fleet

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the test with random documents, so that a failure can be reproduced; -rapid.seed=N
// selects another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

package fleet

import (
	"flag"
	"os"
	"testing"
)

// The state machine uses a fixed seed, so that a failure shows the same sequence in every run.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// Limits of the options. They keep a run small enough for one machine.
const (
	maxDaemons  = 100
	maxServers  = 150 // also the maximum number of callers
	maxDuration = 10 * time.Minute
)

func main() {
	o := options{Binary: "bin/masticspard", Seed: 1, Duration: 20 * time.Second, Daemons: 4, Servers: 6, Callers: 6}
	flaggy.SetName("soak")
	flaggy.SetDescription("Checks daemons that run as processes while signals and proxies disturb them.")
	flaggy.DefaultParser.AdditionalHelpAppend = "\nExit codes: 0 when every check held, 1 when one failed, 2 for wrong options."
	flaggy.String(&o.Binary, "b", "binary", "path of the daemon program")
	flaggy.UInt64(&o.Seed, "s", "seed", "seed of the plan of faults")
	flaggy.Duration(&o.Duration, "d", "duration", "time with faults; some quiet seconds follow")
	flaggy.Int(&o.Daemons, "n", "daemons", "number of entry VMs")
	flaggy.Int(&o.Servers, "", "servers", "number of backend servers")
	flaggy.Int(&o.Callers, "", "callers", "number of callers, with three users each")
	flaggy.String(&o.Logs, "l", "logs", "directory for the logs of the daemons")
	faults := ""
	flaggy.String(&faults, "f", "faults",
		"faults to inject one after the other, with commas, in place of a plan from the seed")
	flaggy.Parse()
	if faults != "" {
		o.Faults = strings.Split(faults, ",")
	}
	if err := checkFaults(o.Faults); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	if o.Daemons < 1 || o.Daemons > maxDaemons || o.Servers < 2 || o.Servers > maxServers || o.Callers < 1 ||
		o.Callers > maxServers || o.Duration <= 0 || o.Duration > maxDuration {
		fmt.Fprintf(os.Stderr, "soak: 1 to %d daemons, 2 to %d servers, 1 to %d callers, at most %v\n",
			maxDaemons, maxServers, maxServers, maxDuration)
		os.Exit(2)
	}
	report, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", errors.ErrorStack(err))
		os.Exit(1)
	}
	fmt.Println(report)
	if len(report.Violations) > 0 {
		os.Exit(1)
	}
}

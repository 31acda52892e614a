package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/operator"
	"github.com/masticspar/masticspar/internal/standin/backend"
	"github.com/masticspar/masticspar/internal/standin/caller"
)

// runSteps starts the callers, adds and drains backend servers, replaces and kills entry VMs and publishes an invalid
// document while their flows are open, and waits for the callers.
func (s *site) runSteps() error {
	if err := s.startCallers(); err != nil {
		return err
	}
	for _, step := range []func() error{
		s.addBackend, s.drainBackend, s.replaceEntry, s.killEntry, s.publishInvalid,
	} {
		time.Sleep(time.Second)
		if err := step(); err != nil {
			return err
		}
	}
	for _, p := range s.callers {
		if err := p.wait(25 * time.Second); err != nil {
			return err
		}
	}
	s.logf("all flows ended")
	return nil
}

// startCallers starts one process of callers for each group.
func (s *site) startCallers() error {
	s.plannedFlows = 0
	for i, c := range s.plan {
		s.plannedFlows += c.total
		p, err := s.launch(fmt.Sprintf("caller-%d", i+1), "standin-caller",
			"--address", s.address(callerByte+byte(i), fabricPort).String(), "--fabric", s.fabricAddress(),
			"--control", s.callerControl(i), "--service", groups[i].address,
			"--rate", fmt.Sprint(c.rate), "--total", fmt.Sprint(c.total),
			"--feed-share", "0.1", "--feed-count", fmt.Sprint(s.feedLines), "--feed-interval", "500ms",
			"--bytes", "3000", "--timeout", "20s", "--token", groups[i].service,
			"--source4", fmt.Sprintf("10.%d.0.1", i+1), "--addresses", "200", "--seed", fmt.Sprint(i+1))
		if err != nil {
			return err
		}
		s.callers = append(s.callers, p)
	}
	s.logf("callers open %d flows", s.plannedFlows)
	return nil
}

func (s *site) callerControl(i int) string {
	return s.address(callerByte+byte(i), standinPort).String()
}

// addBackend adds the last host of the first group to the inventory.
func (s *site) addBackend() error {
	g := groups[0]
	last := len(g.speeds) - 1
	s.addHost(g, last)
	s.inventory.Version++
	s.logf("backend server %s is added", g.host(last))
	return s.publish("inventory", s.inventory)
}

// drainBackend publishes a host of the first group as leaving.
func (s *site) drainBackend() error {
	s.rules.Version++
	s.rules.Leaving = []string{groups[0].host(1)}
	s.logf("backend server %s is leaving", groups[0].host(1))
	return s.publish("rules", s.rules)
}

// replaceEntry starts entry-4 and drains entry-2.
func (s *site) replaceEntry() error {
	if err := s.startEntry(4); err != nil {
		return err
	}
	if err := s.waitReady(4); err != nil {
		return err
	}
	if err := s.setEntries(1, 2, 3, 4); err != nil {
		return err
	}
	s.logf("entry-4 has joined, entry-2 drains")
	p := s.entries[2]
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Trace(err)
	}
	time.Sleep(time.Second) // A fabric checks readiness once a second.
	if err := s.setEntries(1, 3, 4); err != nil {
		return err
	}
	if err := p.wait(35 * time.Second); err != nil { // The drain timeout is 30 s.
		s.failures = append(s.failures, "entry-2 did not end with exit code 0 after its drain: "+err.Error())
	}
	s.logf("entry-2 has ended")
	return nil
}

// killEntry kills entry-3 and removes it from the fabric one second later.
func (s *site) killEntry() error {
	s.logf("entry-3 is killed")
	if err := s.entries[3].cmd.Process.Kill(); err != nil {
		return errors.Trace(err)
	}
	time.Sleep(time.Second)
	return s.setEntries(1, 4)
}

// publishInvalid publishes an inventory with an unknown availability zone, which the entry VMs must refuse.
func (s *site) publishInvalid() error {
	before := s.inventory.Version
	invalid := s.inventory
	invalid.Version++
	invalid.Hosts = append(invalid.Hosts[:0:0], invalid.Hosts...)
	invalid.Hosts[0].AvailabilityZone = "nowhere"
	s.logf("a wrong inventory is published")
	if err := s.publish("inventory", invalid); err != nil {
		return err
	}
	var status operator.Status
	err := waitUntil("refusal", 5*time.Second, func() bool {
		status = operator.Status{}
		return requestJSON("GET", "http://"+s.operator(1)+"/status", nil, &status) == nil && status.LastRefusal != nil
	})
	if err != nil || status.Inventory.Version != before {
		s.failures = append(s.failures, "the wrong inventory was not refused")
		return nil
	}
	s.logf("refused: %s", status.LastRefusal.Error)
	return nil
}

// sumReports adds up the reports of the callers.
func (s *site) sumReports() (total caller.Report, failures []caller.Failure, err error) {
	total.Broken = map[string]int{}
	for _, p := range s.callers {
		b, err := os.ReadFile(p.output)
		if err != nil {
			return total, nil, errors.Trace(err)
		}
		var r caller.Report
		if err := json.Unmarshal(b, &r); err != nil {
			return total, nil, errors.Annotate(err, p.name)
		}
		total.Opened, total.Whole, total.Refused = total.Opened+r.Opened, total.Whole+r.Whole, total.Refused+r.Refused
		for cause, n := range r.Broken {
			total.Broken[cause] += n
		}
		failures = append(failures, r.Failures...)
	}
	return total, failures, nil
}

// checkResults prints the results and returns an error when a flow broke or another check failed.
func (s *site) checkResults() error {
	total, _, err := s.sumReports()
	if err != nil {
		return err
	}
	broken := 0
	for _, n := range total.Broken {
		broken += n
	}
	fmt.Printf("\nflows opened %d, answered whole %d, broken %d, refused before payload %d\n",
		total.Opened, total.Whole, broken, total.Refused)
	s.printReasons()
	if err := s.printHosts(); err != nil {
		return err
	}
	if err := s.checkRepeated(); err != nil {
		return err
	}
	if broken > 0 {
		s.failures = append(s.failures, fmt.Sprintf("%d flows broke: %v", broken, total.Broken))
	}
	if total.Opened != s.plannedFlows || total.Whole+total.Refused+broken != total.Opened {
		s.failures = append(s.failures, "flows are missing in the reports")
	}
	if len(s.failures) > 0 {
		return errors.New(strings.Join(s.failures, "; "))
	}
	return nil
}

// checkRepeated records a failure for each service on which a request ran more than once.
func (s *site) checkRepeated() error {
	for _, g := range groups {
		var repeated map[string]int
		if err := requestJSON("GET", "http://"+s.control(g)+"/tokens?repeated=1", nil, &repeated); err != nil {
			return err
		}
		if len(repeated) > 0 {
			s.failures = append(s.failures, fmt.Sprintf("%d requests of %s ran twice", len(repeated), g.service))
		}
	}
	return nil
}

// metrics returns the counters of an entry VM by their names in the code. The map is empty when the VM is unavailable.
func (s *site) metrics(i int) map[string]int {
	values := map[string]int{}
	response, err := client.Get("http://" + s.operator(i) + "/metrics")
	if err != nil {
		return values
	}
	defer func() { _ = response.Body.Close() }()
	for {
		var name string
		var n int
		if _, err := fmt.Fscanln(response.Body, &name, &n); err != nil {
			return values
		}
		values[strings.ReplaceAll(strings.TrimPrefix(name, "masticspar_"), "_", "-")] = n
	}
}

// printReasons prints the refusals, retries and drops of the entry VMs that still run.
func (s *site) printReasons() {
	totals := map[string]int{}
	for i, p := range s.entries {
		if !p.running() {
			continue
		}
		for name, n := range s.metrics(i) {
			if strings.HasPrefix(name, "refused-") || strings.HasPrefix(name, "dropped-") ||
				strings.HasPrefix(name, "retry-") {
				totals[name] += n
			}
		}
	}
	names := make([]string, 0, len(totals))
	for name := range totals {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("  %-32s %d\n", name, totals[name])
	}
}

// printHosts prints the share of the work of each backend server next to its share of the capacity.
func (s *site) printHosts() error {
	fmt.Printf("\n%-16s %8s %10s %14s %6s\n", "backend server", "requests", "work-share", "capacity-share", "ratio")
	for _, g := range groups {
		var hosts map[string]backend.HostReport
		if err := requestJSON("GET", "http://"+s.control(g)+"/hosts", nil, &hosts); err != nil {
			return err
		}
		requests, capacity := 0.0, 0.0
		for i, speed := range g.speeds {
			requests += float64(hosts[g.host(i)].Requests)
			capacity += speed
		}
		for i := range g.speeds {
			h := hosts[g.host(i)]
			work, share := float64(h.Requests)/requests, g.speeds[i]/capacity
			fmt.Printf("%-16s %8d %9.1f%% %13.1f%% %6.2f\n", g.host(i), h.Requests, 100*work, 100*share, work/share)
		}
	}
	return nil
}

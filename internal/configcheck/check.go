package configcheck

import (
	"fmt"
	"time"

	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/platform/written"
)

// Severities of a Finding.
const (
	SeverityError   = "error"
	SeverityWarning = "warning"
)

// Input is what a check considers.
type Input struct {
	// Document is the configuration to check.
	Document *written.Document
	// InForce is the configuration in force; nil if it is not known.
	InForce *registry.Configuration
	// State is the state of the servers; nil if it is not known.
	State *State
	// FlowLifetime is the maximum age of an open flow.
	FlowLifetime time.Duration
}

// State has the servers and the evacuations of the store.
type State struct {
	// Hosts are the registered servers.
	Hosts []registry.Host
	// EvacuatedZones are the names of the availability zones that are evacuated.
	EvacuatedZones []string
	// ConfigurationFault is why entry VMs refuse the configuration in the store; empty if they accept it or there is none.
	ConfigurationFault string
}

// Finding is a fault or a probable mistake.
type Finding struct {
	// Severity is SeverityError or SeverityWarning.
	Severity string `json:"severity"`
	// Path is the field, such as routes[3].target_latency_ms; empty for the whole configuration.
	Path string `json:"path"`
	// Value is the value of the field.
	Value string `json:"value"`
	// Text describes the finding.
	Text string `json:"text"`
}

// Report is the result of a check.
type Report struct {
	// Version is the version of the configuration.
	Version uint64 `json:"version"`
	// Accepted reports whether entry VMs can decode the configuration. They ignore it if its version is not above the one
	// in force.
	Accepted bool `json:"accepted"`
	// Findings are sorted by kind of check and path.
	Findings []Finding `json:"findings"`
	// InForce is the version that the configuration was compared with; 0 if there was none.
	InForce uint64 `json:"in-force"`
	// Differences are the changes to the configuration in force, sorted by kind and name.
	Differences []Difference `json:"differences"`
}

// Check checks a configuration. If fields have other types than expected, it makes no further checks.
func Check(in *Input) *Report {
	d := in.Document
	c := checker{Input: in, report: &Report{
		Version: d.Version, Accepted: d.Used != nil, Findings: []Finding{}, Differences: []Difference{},
	}}
	for _, f := range d.Faults {
		c.addError(f.Path, f.Value, "entry VMs refuse the configuration: %s", f.Text)
	}
	if d.LimitsFault != "" {
		c.addWarning("limits", "", "cannot be decoded: %s", d.LimitsFault)
	}
	if !d.Complete {
		return c.report
	}
	c.checkRoutes()
	c.checkTargets()
	c.checkServices()
	c.checkLimits()
	if in.State != nil {
		c.checkState()
	}
	if in.InForce != nil {
		c.compare()
	}
	return c.report
}

type checker struct {
	*Input
	report *Report
}

func (c *checker) add(severity, path string, value any, format string, args []any) {
	c.report.Findings = append(c.report.Findings, Finding{
		Severity: severity, Path: path, Value: fmt.Sprintf("%.64s", fmt.Sprint(value)), Text: fmt.Sprintf(format, args...),
	})
}

func (c *checker) addError(path string, value any, format string, args ...any) {
	c.add(SeverityError, path, value, format, args)
}

func (c *checker) addWarning(path string, value any, format string, args ...any) {
	c.add(SeverityWarning, path, value, format, args)
}

func routePath(i int, field string) string { return fmt.Sprintf("routes[%d].%s", i, field) }

func servicePath(i int, field string) string { return fmt.Sprintf("services[%d].%s", i, field) }

// targetsOf returns the services that receive flows of a route, with the path of each.
func targetsOf(i int, r *written.Route) (names, paths []string) {
	for j, t := range r.Split {
		if t.Counts() {
			names, paths = append(names, t.Service), append(paths, routePath(i, fmt.Sprintf("traffic_split[%d].service", j)))
		}
	}
	if len(names) == 0 && r.Service != "" {
		return []string{r.Service}, []string{routePath(i, "service")}
	}
	return names, paths
}

package main

import (
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/masticspar/masticspar/internal/dsr/settings"
)

// Exit codes.
const (
	exitOK          = 0
	exitInvalid     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

type command struct {
	stdout, stderr io.Writer
	client         client
	json           bool
}

type arguments struct {
	operator, inventory, rules, oldInventory, oldRules string
	configuration, old, store                          string
	flowLifetime                                       time.Duration
	protocol, source, destination                      string
	match, from, to                                    string
	json                                               bool
	timeout                                            time.Duration
}

const exitCodes = `Exit codes: 0 success, 1 invalid or refused, 2 wrong usage, 3 entry VM unreachable.`

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	var defaults settings.Settings
	defaults.SetDefaults()
	flowLifetime := time.Duration(defaults.FlowLifetime)
	a := arguments{timeout: 5 * time.Second, flowLifetime: flowLifetime}
	p := flaggy.NewParser("masticsparctl")
	p.Description = "Checks documents and queries entry VMs."
	p.AdditionalHelpAppend = "Example: masticsparctl status --operator 127.0.0.1:7080\n" + exitCodes
	p.ShowCompletion = false
	check := addCommand(p, "check", "validate documents and show what they would change",
		"Examples: masticsparctl check --inventory inventory.json --rules rules.json\n"+
			"          masticsparctl check --inventory inventory.json --rules rules.json --operator 127.0.0.1:7080\n"+
			"          masticsparctl check --inventory new.json --rules rules.json --old-inventory old.json --old-rules rules.json\n"+
			"Token mode: masticsparctl check --configuration new.json --old old.json\n"+
			"          masticsparctl check --configuration - --store 127.0.0.1:7104 --json < new.json\n"+
			"With --configuration, 0 means no findings, 1 findings, 2 wrong usage or an unreadable file or store.")
	check.String(&a.inventory, "i", "inventory", "inventory file (required in the owner mode)")
	check.String(&a.rules, "r", "rules", "rules file (required in the owner mode)")
	check.String(&a.oldInventory, "", "old-inventory", "inventory file to compare with")
	check.String(&a.oldRules, "", "old-rules", "rules file to compare with")
	check.String(&a.configuration, "c", "configuration",
		"configuration file of the token mode, in JSON or CBOR, or - for standard input")
	check.String(&a.old, "", "old", "configuration file to compare with")
	check.String(&a.store, "s", "store", "\"ip:port\" of the store, for the version in force, evacuations and servers")
	check.Duration(&a.flowLifetime, "", "flow-lifetime",
		"maximum age of an open flow in the settings of the entry VMs")
	status := addCommand(p, "status", "show documents, peers and backend servers of an entry VM",
		"Example: masticsparctl status --operator 127.0.0.1:7080 --json")
	flow := addCommand(p, "flow", "show the owner and the backend server of a flow",
		"Example: masticsparctl flow --operator 127.0.0.1:7080 --protocol tcp --source 192.0.2.1:40000 --destination 10.1.0.1:443")
	flow.String(&a.protocol, "p", "protocol", "tcp or udp (required)")
	flow.String(&a.source, "s", "source", "\"ip:port\" of the caller (required)")
	flow.String(&a.destination, "d", "destination", "\"ip:port\" of the service (required)")
	drain := addCommand(p, "drain", "start the graceful shutdown of an entry VM",
		"Example: masticsparctl drain --operator 127.0.0.1:7080")
	explain := addCommand(p, "explain", "show events of a flow or of a time range from the logs of entry VMs",
		"Log files follow --; use - for standard input.\n"+
			"Example: masticsparctl explain --match caller=100.64.0.7:4001 -- entry-1.log entry-2.log")
	explain.String(&a.match, "m", "match",
		"comma-separated terms that events must contain, such as host=i-1,reason=host-silent")
	explain.String(&a.from, "", "from", "start of the time range, in RFC 3339 format")
	explain.String(&a.to, "", "to", "end of the time range, in RFC 3339 format")
	for _, s := range []*flaggy.Subcommand{check, status, flow, drain} {
		s.String(&a.operator, "o", "operator", "operator address of an entry VM as \"ip:port\"")
		s.Bool(&a.json, "j", "json", "write the result as JSON")
		s.Duration(&a.timeout, "t", "timeout", "timeout of the request to the entry VM, or of reading the store")
	}
	// The parser exits the process itself: with code 0 after help and with code 2 after invalid flags.
	if err := p.ParseArgs(args); err != nil {
		p.ShowHelpWithMessage(err.Error())
		return exitUsage
	}
	c := &command{stdout: stdout, stderr: stderr, client: client{address: a.operator, timeout: a.timeout}, json: a.json}
	switch {
	case check.Used:
		if a.configuration != "" || a.old != "" || a.store != "" || a.flowLifetime != flowLifetime {
			return c.checkConfiguration(a)
		}
		return c.check(a)
	case status.Used:
		return c.status()
	case flow.Used:
		return c.flow(a)
	case drain.Used:
		return c.drain()
	case explain.Used:
		if len(p.TrailingArguments) == 0 {
			p.ShowHelpWithMessage("explain: missing log files")
			return exitUsage
		}
		return c.explain(a, p.TrailingArguments)
	}
	p.ShowHelpWithMessage("missing command")
	return exitUsage
}

// addCommand attaches a subcommand to p whose help shows the example and the exit codes.
func addCommand(p *flaggy.Parser, name, description, example string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	s.AdditionalHelpAppend = example + "\n" + exitCodes
	p.AttachSubcommand(s, 1)
	return s
}

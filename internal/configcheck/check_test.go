package configcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/platform/store"
	"github.com/masticspar/masticspar/platform/written"
)

const valid = `{"version":7,"routes":[
{"name":"r-a","host":"198.18.0.1","prefix":"/80/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":150,
"priority":1,"traffic_split":[{"service":"main","weight":90},{"service":"second","weight":10}]},
{"name":"r-b","host":"198.18.0.2","prefix":"/80/","kind":"upload","timeout_ms":3000,"target_latency_ms":200,
"service":"second"}],"services":[{"name":"main","cold_per_s":4,"warmup_s":5},{"name":"second"}],
"limits":{"idle_timeout_ms":15000}}`

// document decodes the valid configuration after each pair of texts was replaced.
func document(t testing.TB, pairs ...string) *written.Document {
	t.Helper()
	text := valid
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(text, pairs[i]) {
			t.Fatalf("%q is not in the configuration", pairs[i])
		}
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	d, err := store.ReadDocument([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a fault that is not reported, one reported at another field, and findings in a valid configuration.
func TestFindings(t *testing.T) {
	for _, test := range []struct{ name, old, replacement, want string }{
		{"valid", "", "", ""},
		{"refused", `198.18.0.2`, `x`, "error routes[1].host x"},
		{"wrong type", `"version":7`, `"version":"7"`, `error version "7"`},
		{"hidden", `198.18.0.2`, `198.18.0.1`, "error routes[0].host 198.18.0.1"},
		{"IPv6", `198.18.0.2`, `::ffff:198.18.0.2`, "error routes[1].host ::ffff:198.18.0.2"},
		{"port 0", `/80/`, `/0/`, "error routes[0].prefix /0/"},
		{"unused", `{"name":"second"}`, `{"name":"second"},{"name":"third"}`, "warning services[2].name third"},
		{"twice", `{"name":"second"}`, `{"name":"second"},{"name":"main"}`, "error services[2].name main"},
		{"weight 0", `"weight":10`, `"weight":0`, "warning routes[0].traffic_split[1].weight 0"},
		{"weight -1", `"weight":10`, `"weight":-1`, "error routes[0].traffic_split[1].weight -1"},
		{"no service", `"service":"second"}]`, `"service":"x"}]`, "error routes[1].service x"},
		{"no target", `"second","weight"`, `"x","weight"`, "error routes[0].traffic_split[1].service x"},
		{"target", `150`, `1001`, "error routes[0].target_latency_ms 1001"},
		{
			"target, no timeout", `"timeout_ms":1000,"target_latency_ms":150`, `"target_latency_ms":9000000000000000000`,
			"error routes[0].target_latency_ms 9000000000000000000; error limits.idle_timeout_ms 15000",
		},
		{"target < 0", `150`, `-1`, "error routes[0].target_latency_ms -1"},
		{"timeout", `3000`, `60001`, "error routes[1].timeout_ms 60001"},
		{"timeout < 0", `3000`, `-1`, "error routes[1].timeout_ms -1"},
		{"idle", `15000`, `199`, "error limits.idle_timeout_ms 199"},
		{"limits", `15000`, `"x"`, "warning limits "},
		{"priority", `"priority":1`, `"priority":-1`, "error routes[0].priority -1"},
		{"high priority", `"priority":1`, `"priority":1000001`, "error routes[0].priority 1000001"},
		{"no warm-up", `"warmup_s":5`, `"warmup_s":0`, "error services[0].warmup_s 0"},
		{"long warm-up", `"warmup_s":5`, `"warmup_s":86401`, "error services[0].warmup_s 86401"},
		{"cold rate", `"cold_per_s":4`, `"cold_per_s":-4`, "error services[0].cold_per_s -4"},
		{"old version", `"version":7`, `"version":6`, "error version 6"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := Check(&Input{
				Document: document(t, test.old, test.replacement), InForce: &registry.Configuration{Version: 6},
				FlowLifetime: time.Minute,
			})
			var list []string
			for _, f := range r.Findings {
				list = append(list, fmt.Sprintf("%s %s %s", f.Severity, f.Path, f.Value))
			}
			is.Equal(strings.Join(list, "; "), test.want)
		})
	}
}

// Guards against a report of the wrong one of two routes with the same address.
func TestHiddenRouteIsTheOneNotInForce(t *testing.T) {
	is := is.New(t)
	d := document(t, `198.18.0.2`, `198.18.0.1`)
	var r registry.Registry
	r.Apply(0, registry.Change{Configuration: d.Used}, false)
	is.Equal(r.Route(d.Used.Routes[0].Address).Name, "r-b")
	is.Equal(Check(&Input{Document: d, FlowLifetime: time.Minute}).Findings[0].Path, "routes[0].host")
}

// Guards against an evacuation that leaves a route without servers unnoticed, and against leaving servers that count.
func TestEvacuationLeavesRouteWithoutServers(t *testing.T) {
	is := is.New(t)
	state := &State{Hosts: []registry.Host{
		{Service: "main", AvailabilityZone: "a"},
		{Service: "main", AvailabilityZone: "b"},
		{Service: "second", AvailabilityZone: "a"},
		{Service: "second", AvailabilityZone: "b", Leaving: true},
	}}
	paths := func() (list []string) {
		for _, f := range Check(&Input{Document: document(t), State: state, FlowLifetime: time.Minute}).Findings {
			list = append(list, f.Severity+" "+f.Path)
		}
		return list
	}
	is.Equal(len(paths()), 0)
	state.EvacuatedZones = []string{"a"}
	is.Equal(paths(), []string{"error routes[0].traffic_split[1].service", "error routes[1].service"})
	state.Hosts = state.Hosts[:2]
	is.Equal(paths(), []string{"warning routes[0].traffic_split[1].service", "warning routes[1].service"})
}

// Guards against a changed value that the comparison omits.
func TestDifferences(t *testing.T) {
	is := is.New(t)
	after := document(t, `"version":7`, `"version":8`, `198.18.0.2`, `198.18.0.3`, `"weight":10`, `"weight":20`,
		`150`, `160`, `"timeout_ms":1000`, `"timeout_ms":1100`, `"priority":1`, `"priority":2`,
		`"kind":"idempotent"`, `"kind":"x"`, `"r-a"`, `"r-c"`, `"cold_per_s":4,"warmup_s":5`, `"cold_per_s":6,"warmup_s":7`,
		`{"name":"second"}`, `{"name":"third"}`)
	r := Check(&Input{Document: after, InForce: document(t).Used, FlowLifetime: time.Minute})
	var list []string
	for _, d := range r.Differences {
		list = append(list, fmt.Sprintf("%s %s %s %s>%s", d.Kind, d.Name, d.Change, d.From, d.To))
	}
	is.Equal(list, []string{
		"route r-b 198.18.0.2:80 removed >", "route r-b 198.18.0.3:80 added >", "route r-c 198.18.0.1:80 name r-a>r-c",
		"route r-c 198.18.0.1:80 services main:90 second:10>main:90 second:20",
		"route r-c 198.18.0.1:80 idempotent true>false",
		"route r-c 198.18.0.1:80 target-latency 150ms>160ms", "route r-c 198.18.0.1:80 timeout 1s>1.1s",
		"route r-c 198.18.0.1:80 priority 1>2", "service main cold-per-s 4>6", "service main warm-up 5s>7s",
		"service second removed >", "service third added >",
	})
}

// Guards against a change of the target latency that is shown as harmless to open flows, which are reset by it if their
// requests may be repeated.
func TestEffectOfTargetLatency(t *testing.T) {
	is := is.New(t)
	after := document(t, `"version":7`, `"version":8`, `150`, `160`, `"target_latency_ms":200`, `"target_latency_ms":210`)
	r := Check(&Input{Document: after, InForce: document(t).Used, FlowLifetime: time.Minute})
	is.Equal(len(r.Differences), 2)
	is.Equal(r.Differences[0].Effect, effectSilence)
	is.Equal(r.Differences[1].Effect, effectNone)
}

// BenchmarkCheck decodes, checks and compares 5,000 routes of 50 services.
func BenchmarkCheck(b *testing.B) {
	var routes, services []string
	for i := range 5000 {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","host":"198.18.%d.%d","prefix":"/80/","kind":"idempotent",
			"timeout_ms":1000,"target_latency_ms":150,"service":"s-%d","max_attempts":2}`, i, i>>8, i&255, i%50))
	}
	for i := range 50 {
		services = append(services, fmt.Sprintf(`{"name":"s-%d","cold_per_s":4,"warmup_s":5}`, i))
	}
	text := []byte(fmt.Sprintf(`{"version":7,"routes":[%s],"services":[%s]}`,
		strings.Join(routes, ","), strings.Join(services, ",")))
	old, err := store.DecodeConfiguration(mustEncode(b, text))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		d, err := store.ReadDocument(text)
		if err != nil {
			b.Fatal(err)
		}
		if r := Check(&Input{Document: d, InForce: old, FlowLifetime: time.Minute}); len(r.Findings) != 1 {
			b.Fatal(r.Findings)
		}
	}
}

func mustEncode(b *testing.B, text []byte) []byte {
	out, err := store.EncodeCBOR(text)
	if err != nil {
		b.Fatal(err)
	}
	return out
}

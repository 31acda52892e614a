package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/masticspar/masticspar/internal/configcheck"
	"github.com/masticspar/masticspar/internal/registry"
	standin "github.com/masticspar/masticspar/platform/standin/store"
	"github.com/masticspar/masticspar/platform/standin/wire"
	"github.com/matryer/is"
)

const validConfiguration = `{"version":3,"routes":[{"name":"r-a","host":"198.18.0.1","prefix":"/443/",
	"kind":"idempotent","timeout_ms":1000,"target_latency_ms":150,"service":"main"}],"services":[{"name":"main"}]}`

// Guards against findings with the exit code of success, unreadable input with that of findings, and ignored flags.
func TestCheckConfigurationExitCodes(t *testing.T) {
	valid := writeFile(t, validConfiguration)
	later := writeFile(t, strings.Replace(validConfiguration, `:3`, `:4`, 1))
	refused := writeFile(t, strings.Replace(validConfiguration, `"/443/"`, `"/x/"`, 1))
	for _, c := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"valid", []string{"--configuration", valid}, exitOK, "version 3: 0 findings"},
		{"later", []string{"--configuration", later, "--old", valid}, exitOK, "no differences from version 3"},
		{"earlier", []string{"--configuration", valid, "--old", later}, exitInvalid, "is not above the version in force (4)"},
		{"lifetime", []string{"--configuration", valid, "--flow-lifetime", "500ms"}, exitInvalid, "routes[0].timeout_ms"},
		{"refused", []string{"--configuration", refused}, exitInvalid, "routes[0].prefix"},
		{"old refused", []string{"--configuration", valid, "--old", refused}, exitUsage, "routes[0].prefix"},
		{"missing", []string{"--configuration", "missing.json"}, exitUsage, "missing.json"},
		{"no JSON", []string{"--configuration", writeFile(t, `{"version":`)}, exitUsage, "JSON"},
		{"store down", []string{"--configuration", valid, "--store", "127.0.0.1:1"}, exitUsage, "store 127.0.0.1:1"},
		{"store name", []string{"--configuration", valid, "--store", "x"}, exitUsage, "--store must be"},
		{"both modes", []string{"--configuration", valid, "--rules", valid}, exitUsage, "owner mode"},
		{
			"both comparisons",
			[]string{"--configuration", valid, "--old", valid, "--store", "127.0.0.1:1"},
			exitUsage, "--old cannot",
		},
		{"no configuration", []string{"--old", valid}, exitUsage, "require --configuration"},
		{"lifetime alone", []string{"--flow-lifetime", "5s"}, exitUsage, "require --configuration"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, out, text := execute(append([]string{"check"}, c.args...)...)
			is.Equal(code, c.code)
			is.True(strings.Contains(out+text, c.want))
		})
	}
}

// Guards against a check that misses a page of the store, counts a removed evacuation, or writes to the store.
func TestCheckConfigurationReadsStore(t *testing.T) {
	is := is.New(t)
	s := &standin.Server{PageSize: 1}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Method, http.MethodGet)
		s.ServeHTTP(w, r)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	args := []string{"check", "--json", "--configuration", writeFile(t, validConfiguration), "--store", address}
	check := func() (int, configcheck.Report) {
		code, out, _ := execute(args...)
		var r configcheck.Report
		is.NoErr(json.Unmarshal([]byte(out), &r))
		return code, r
	}
	for i, zone := range []string{"a", "b"} {
		h := registry.Host{
			Name: "i-" + zone, Service: "main", Address: netip.MustParseAddrPort("10.0.0.1:80"), AvailabilityZone: zone,
			Slots: i + 1, Started: 1, Sequence: 1,
		}
		s.Put(wire.HostKey(h.Name), wire.HostEntry(&h))
		s.Put(wire.EvacuationKey(zone), []byte{0xa0})
	}
	code, r := check() // There is no configuration yet.
	is.Equal(code, exitInvalid)
	is.Equal(r.Findings[0].Text, "has no server for new flows: all of its servers are in evacuated zones (a, b)")
	s.Put(wire.ConfigurationKey, []byte{0xa0}) // Entry VMs refuse it.
	code, r = check()
	is.Equal(code, exitInvalid)
	is.True(strings.Contains(r.Findings[0].Text, "cannot be compared: entry VMs refuse the configuration in the store"))
	s.Delete(wire.EvacuationKey("b"))
	s.Put(wire.ConfigurationKey, wire.ConfigurationEntry(&registry.Configuration{Version: 2}))
	code, r = check()
	is.Equal(code, exitOK)
	is.Equal(r.InForce, uint64(2))
	is.Equal(len(r.Differences), 3) // The route and the service are new, and others are no longer used.
}

// Guards against names in a configuration that change other lines of the report or the state of the terminal.
func TestCheckConfigurationQuotesControlCharacters(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(validConfiguration, `[{"name":"main"}`, `[{"name":"main"},{"name":"x\ny\t\u001b[2J"}`, 1)
	_, out, _ := execute("check", "--configuration", writeFile(t, text))
	is.True(strings.Contains(out, `"x\ny\t\x1b[2J"`))
	is.Equal(strings.Count(out, "\n"), 3)
}

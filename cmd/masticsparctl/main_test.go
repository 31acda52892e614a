package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/operator"
	"github.com/matryer/is"
)

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func inventoryOf(version int, hosts ...string) string {
	var list []string
	for _, h := range hosts {
		list = append(list, fmt.Sprintf(
			`{"name":"%s","service":"allas","availability-zone":"buda-a","address":"10.2.0.%s:6081"}`, h, h[1:]))
	}
	return fmt.Sprintf(`{"version":%d,"availability-zones":["buda-a"],"services":[{"name":"allas","protocol":"tcp",
		"addresses":["10.1.0.1:443"]}],"hosts":[%s]}`, version, strings.Join(list, ","))
}

// execute runs masticsparctl with the given arguments.
func execute(args ...string) (code int, stdout, stderr string) {
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

// Guards against changes that check omits, and against refusals with the exit code of success.
func TestCheckReportsChangesAndRefusals(t *testing.T) {
	is := is.New(t)
	inventory, rules := inventoryOf(2, "h1", "h2", "h4"),
		`{"version":3,"leaving":["h2","h9"],"hosts":[{"name":"h1","max-share":0.5}]}`
	checkArgs := []string{"check", "--inventory", writeFile(t, inventory), "--rules", writeFile(t, rules)}
	code, out, _ := execute(checkArgs...)
	is.Equal(code, exitOK)
	is.Equal(out, "inventory version 2 and rules version 3 are valid\nwarning: 1 names in the rules are unknown and ignored\n")

	const want = `SERVICE  HOST  CHANGE   FROM   TO
allas    h1    share    -      50%
allas    h2    leaving  false  true
allas    h3    removed  -      -
allas    h4    added    -      -
`
	code, out, _ = execute(append(checkArgs[:len(checkArgs):len(checkArgs)],
		"--old-inventory", writeFile(t, inventoryOf(1, "h1", "h2", "h3")), "--old-rules", writeFile(t, `{"version":1}`))...)
	is.Equal(code, exitOK)
	is.True(strings.HasSuffix(out, want))

	running := operator.Status{
		Inventory: operator.Document{Version: 2, Hash: fmt.Sprintf("%016x", fleet.HashOf([]byte(inventory)))},
		Rules:     operator.Document{Version: 3, Hash: "0000000000000001"},
	}
	server := serveStatus(t, &running)
	code, out, _ = execute(append(checkArgs[:len(checkArgs):len(checkArgs)], "--operator", server)...)
	is.Equal(code, exitInvalid)
	is.True(strings.Contains(out, "would be refused: rules: version 3 is in force with other content\n"))
	is.True(!strings.Contains(out, "refused: inventory"))
	is.Equal(strings.Count(out, "added"), 3)

	running.Inventory.Version, running.Rules.Version = 3, 2
	code, out, _ = execute(append(checkArgs[:len(checkArgs):len(checkArgs)], "--operator", server, "--json")...)
	is.Equal(code, exitInvalid)
	var r report
	is.NoErr(json.Unmarshal([]byte(out), &r))
	is.Equal(r.Refused, []string{"inventory: version 2 is lower than 3, which is in force"})
}

// Guards against errors with the wrong exit code, or without the flag, file or field that caused them.
func TestExitCodes(t *testing.T) {
	rules := writeFile(t, `{"version":1}`)
	server := serveStatus(t, &operator.Status{})
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{
			[]string{"check", "--inventory", writeFile(t, `{"version":0}`), "--rules", rules},
			exitInvalid,
			"inventory: version: must be",
		},
		{[]string{"check", "--rules", rules}, exitUsage, "--inventory"},
		{[]string{"check", "--inventory", "missing.json", "--rules", rules}, exitUsage, "missing.json"},
		{[]string{"status"}, exitUsage, "--operator"},
		{[]string{"status", "--operator", "127.0.0.1:1"}, exitUnreachable, "refused"},
		{[]string{"flow", "--operator", server, "--protocol", "icmp"}, exitUsage, "--protocol must be tcp or udp"},
		{[]string{"flow", "--operator", server, "--protocol", "tcp", "--source", "x"}, exitUsage, "--source"},
		{
			[]string{"flow", "--operator", server, "--protocol", "tcp", "--source", "[::1]:1", "--destination", "[::1]:2"},
			exitInvalid, "no such flow",
		},
		{[]string{"drain", "--operator", server}, exitUnreachable, "status 500"},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			is := is.New(t)
			code, _, text := execute(c.args...)
			is.Equal(code, c.code)
			is.True(strings.Contains(text, c.want))
		})
	}
}

// Guards against fields of the status that are missing from its tables.
func TestStatusShowsAllFields(t *testing.T) {
	is := is.New(t)
	code, out, _ := execute("status", "--operator", serveStatus(t, &operator.Status{
		Name: "buda-1", Ready: true,
		Inventory:   operator.Document{Version: 7, Hash: "00ff", AgeSeconds: 90, Source: "platform"},
		LastRefusal: &operator.Refusal{Document: "rules", Source: "pest-1", Error: "bad", AgeSeconds: 3},
		Peers:       []operator.Peer{{Name: "pest-1", Region: "hu", AvailabilityZone: "pest-b", Size: 2, State: "suspect"}},
		Services: []operator.Service{{Name: "allas", Hosts: []operator.Host{{
			Name: "h1", AvailabilityZone: "buda-a", State: "warming", Weight: 1, LearnedWeight: 0.5, MaxShare: 0.25,
			OpenFlows: 12, FirstAnswerMS: 8.25, Refusals: map[string]int64{"overload": 3, "connection-limit": 1},
		}}}},
	}))
	is.Equal(code, exitOK)
	is.Equal(out, `buda-1: ready

DOCUMENT   VERSION  HASH  AGE    SOURCE
inventory  7        00ff  1m30s  platform
rules      0        -     0s     -
last refusal: rules from pest-1, 3s ago: bad

PEER    REGION  ZONE    SIZE  STATE
pest-1  hu      pest-b  2     suspect

SERVICE  HOST  ZONE    STATE    WEIGHT  LEARNED  SHARE  FLOWS  FIRST-ANSWER  REFUSALS
allas    h1    buda-a  warming  1       0.50     25%    12     8.2 ms        connection-limit=1 overload=3
`)
}

// serveStatus starts an operator server that returns s, refuses /flow and fails on /drain. It returns the address.
func serveStatus(t *testing.T, s *operator.Status) string {
	t.Helper()
	m := http.NewServeMux()
	m.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s) })
	m.HandleFunc("GET /flow", func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no such flow", http.StatusNotFound)
	})
	m.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "fault", http.StatusInternalServerError)
	})
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

package inventory

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/document"
	"github.com/masticspar/masticspar/internal/standin/sample"
	"github.com/matryer/is"
)

const valid = `{"version":3,"availability-zones":["wa-perth","wa-south"],
"services":[{"name":"standdesk","protocol":"tcp","addresses":["10.1.0.1:443","[2001:db8::1]:443"],"owner-group":8,
 "idle-timeout":"1h","warm-up":"2m","max-wait":"2s"},
 {"name":"photointake","protocol":"udp","addresses":["10.1.0.1:443"]}],
"hosts":[{"name":"h1","service":"standdesk","availability-zone":"wa-perth","address":"10.2.0.1:6081","weight":1,"slots":2,
 "connections":2000,"started":"2026-11-30T08:00:00Z"},
 {"name":"h2","service":"photointake","availability-zone":"wa-south","address":"[2001:db8::2]:6081"}]}`

// Guards against wrong defaults and against a protocol or address family that is not decoded.
func TestDecode(t *testing.T) {
	is := is.New(t)
	d, err := Decode([]byte(valid))
	is.NoErr(err)
	is.Equal(d.Hosts[1], Host{
		Name: "h2", Service: "photointake", AvailabilityZone: "wa-south",
		Address: netip.MustParseAddrPort("[2001:db8::2]:6081"), Weight: 1, Slots: 2, Connections: 2000,
	})
	is.Equal(time.Duration(d.Services[1].IdleTimeout), 2*time.Minute)
	is.Equal(time.Duration(d.Services[0].IdleTimeout), time.Hour)
}

// Guards against an invalid document that is accepted, and against an error without the field and the allowed range.
func TestDecodeRefuses(t *testing.T) {
	decode := func(b []byte) error { _, err := Decode(b); return err }
	for _, c := range []sample.Change{
		{`"version":3`, `"version":0`, "version"},
		{`"version":3`, `"version":9007199254740993`, "version"},
		{`"wa-south"]`, `"wa-perth"]`, "availability-zones[1]"},
		{`"name":"photointake"`, `"name":"standdesk"`, "services[1].name"},
		{`"name":"photointake"`, `"name":"photo intake"`, "services[1].name"},
		{`"protocol":"udp"`, `"protocol":"tcp"`, "services[1].addresses[0]"},
		{`"protocol":"udp"`, `"protocol":"sctp"`, "services[1].protocol"},
		{`"[2001:db8::1]:443"`, `"10.1.0.1:443"`, "services[0].addresses[1]"},
		{`"[2001:db8::1]:443"`, `"[::ffff:10.1.0.2]:443"`, "services[0].addresses[1]"},
		{`["10.1.0.1:443"]`, `[]`, "services[1].addresses"},
		{`"owner-group":8`, `"owner-group":65`, "services[0].owner-group"},
		{`"idle-timeout":"1h"`, `"idle-timeout":"0s"`, "services[0].idle-timeout"},
		{`"warm-up":"2m"`, `"warm-up":"2h"`, "services[0].warm-up"},
		{`"max-wait":"2s"`, `"max-wait":"1ms"`, "services[0].max-wait"},
		{`"name":"h2"`, `"name":"h1"`, "hosts[1].name"},
		{`"service":"standdesk"`, `"service":"other"`, "hosts[0].service"},
		{`"availability-zone":"wa-south"`, `"availability-zone":"wa-north"`, "hosts[1].availability-zone"},
		{`"[2001:db8::2]:6081"`, `"10.2.0.1:6082"`, "hosts[1].address"},
		{`"[2001:db8::2]:6081"`, `"[fe80::2%eth0]:6081"`, "hosts[1].address"},
		{`"10.2.0.1:6081"`, `"10.2.0.1:0"`, "hosts[0].address"},
		{`"weight":1`, `"weight":0`, "hosts[0].weight"},
		{`"slots":2`, `"slots":0`, "hosts[0].slots"},
		{`"connections":2000`, `"connections":1000001`, "hosts[0].connections"},
		{`"connections":2000`, `"conections":2000`, "hosts[0].conections"},
	} {
		t.Run(c.With, func(t *testing.T) { is.New(t).True(sample.Refused(t, c, "inventory", valid, decode).Got != "") })
	}
}

// Guards against a size limit that is too small for the target of 5,700 hosts behind 1,100 addresses, and against a
// limit that is not applied.
func TestSizeLimit(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	b.WriteString(`{"version":1,"availability-zones":["zone-00"],"services":[`)
	for i := range 1100 {
		fmt.Fprintf(&b, `{"name":"service-%04d","protocol":"tcp","addresses":["10.200.%d.%d:443"]},`, i, i/250, i%250+1)
	}
	text := strings.TrimSuffix(b.String(), ",") + `],"hosts":[`
	b.Reset()
	for i := range 5700 {
		fmt.Fprintf(&b, `{"name":"service-%04d-%02d","service":"service-%04d","availability-zone":"zone-00",`+
			`"address":"10.100.%d.%d:6081","started":"2026-11-30T08:00:00Z"},`, i%1100, i/1100, i%1100, i/250, i%250+1)
	}
	text += strings.TrimSuffix(b.String(), ",") + `]}`
	t.Logf("%d bytes", len(text))
	d, err := Decode([]byte(text))
	is.NoErr(err)
	is.Equal(len(d.Hosts), 5700)
	_, err = Decode([]byte(text + strings.Repeat(" ", document.MaxSize)))
	is.True(err != nil)
}

// FuzzDecode guards against a panic, and against a document that is accepted, encoded and then refused.
func FuzzDecode(f *testing.F) { sample.Fuzz(f, Decode, valid, `{"version":1}`) }

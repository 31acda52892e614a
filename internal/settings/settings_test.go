package settings

import (
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/standin/sample"
	"github.com/matryer/is"
)

const valid = `{"name":"perth-1","region":"west","availability-zone":"wa-perth","size":2,"fabric-address":"127.0.0.1:6081",
"fabric":["127.0.1.1:6081"],"data-address":"127.0.0.1:6082","control-address":"127.0.0.1:6083","operator-address":"127.0.0.1:6083",
"contacts":["127.0.0.2:6083","[::1]:6083"],"platform":"http://127.0.0.1:7070","ca-file":"ca.pem","certificate-file":"c.pem",
"key-file":"k.pem"}`

// Guards against a missing default and against a setting that is not decoded.
func TestDecode(t *testing.T) {
	is := is.New(t)
	s, err := Decode("daemon.json", []byte(valid))
	is.NoErr(err)
	is.True(s.Size == 2 && s.MTU == 1440 && s.FlowCapacity == 500_000 && s.ControlBytesPerSecond == 4096)
	is.Equal(time.Duration(s.DrainTimeout), 30*time.Second)
	is.Equal(s.Contacts[1].String(), "[::1]:6083")
}

// Guards against a process that starts with invalid settings, and against an error without the field and its range.
func TestDecodeRefuses(t *testing.T) {
	decode := func(b []byte) error { _, err := Decode("daemon.json", b); return err }
	for _, c := range []sample.Change{
		{`"perth-1"`, `""`, "name"},
		{`"west"`, `"west coast"`, "region"},
		{`"availability-zone":"wa-perth",`, ``, "availability-zone"},
		{`"size":2`, `"size":0`, "size"},
		{`"fabric-address":"127.0.0.1:6081",`, ``, "fabric-address"},
		{`"127.0.0.1:6082"`, `"127.0.0.1:6081"`, "data-address"},
		{`"127.0.0.1:6082"`, `"0.0.0.0:6082"`, "data-address"},
		{`"operator-address":"127.0.0.1:6083"`, `"operator-address":"127.0.0.1:0"`, "operator-address"},
		{`["127.0.1.1:6081"]`, `[]`, "fabric"},
		{`"[::1]:6083"`, `"127.0.0.2:6083"`, "contacts[1]"},
		{`http://`, `ftp://`, "platform"},
		{`"ca.pem"`, `""`, "ca-file"},
		{`"c.pem"`, `""`, "certificate-file"},
		{`"k.pem"`, `""`, "key-file"},
		{`"size":2`, `"mtu":1279`, "mtu"},
		{`"size":2`, `"flow-capacity":10000001`, "flow-capacity"},
		{`"size":2`, `"control-bytes-per-second":0`, "control-bytes-per-second"},
		{`"size":2`, `"drain-timeout":"11m"`, "drain-timeout"},
		{`"size":2`, `"drain-time-out":"11m"`, "drain-time-out"},
	} {
		t.Run(c.With, func(t *testing.T) { _ = sample.Refused(t, c, "daemon.json", valid, decode) })
	}
}

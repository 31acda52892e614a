package main

import (
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/settings"
)

// Guards against a failed start whose error does not name the setting that caused it.
func TestStartErrorsNameTheSetting(t *testing.T) {
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = udp.Close() }()
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tcp.Close() }()
	used := udp.LocalAddr().(*net.UDPAddr).AddrPort()
	for name, change := range map[string]func(s *settings.Settings){
		"fabric-address":   func(s *settings.Settings) { s.FabricAddress = used },
		"data-address":     func(s *settings.Settings) { s.DataAddress = used },
		"control-address":  func(s *settings.Settings) { s.ControlAddress = used },
		"operator-address": func(s *settings.Settings) { s.OperatorAddress = tcp.Addr().(*net.TCPAddr).AddrPort() },
		"platform":         func(s *settings.Settings) { s.Platform = "ftp://127.0.0.1" },
		"ca-file":          func(s *settings.Settings) { s.CAFile = os.DevNull },
		"certificate-file": func(s *settings.Settings) { s.CertificateFile = s.CAFile + ".missing" },
		"key-file":         func(s *settings.Settings) { s.KeyFile = s.CAFile },
	} {
		s := testSettings(t, "http://127.0.0.1:1", netip.MustParseAddrPort("127.0.0.1:1"))
		change(s)
		_, stop, err := newDaemon(s, zap.NewNop())
		if err == nil {
			stop()
			t.Errorf("%s: daemon started, want an error", name)
		} else if !strings.Contains(err.Error(), name) {
			t.Errorf("%s is not named in error %q", name, err)
		}
	}
}

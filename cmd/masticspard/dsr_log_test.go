package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/dsr"
	"github.com/masticspar/masticspar/internal/overload"
	"github.com/masticspar/masticspar/internal/timer"
)

// Guards against a line about a refused SYN that does not show what the refusal depended on, or not in the form that
// masticsparctl explain matches.
func TestDSRLogShowsOverloadRefusal(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	clock, stop := timer.New(dsr.TickPeriod)
	defer stop()
	d := &dsrDaemon{log: newLogger(zapcore.AddSync(&out)), timer: clock}
	request := overload.Request{Priority: 2, TargetLatency: 400 * time.Millisecond, Expected: 310 * time.Millisecond}
	d.logFlow(clock.Now(), "flow-reset", &conntrack.Packet{SYN: true}, dsr.Verdict{
		Action: dsr.Reset, Reason: overload.ReasonOverload, Overload: &dsr.Refusal{Request: request, InFlight: 6, Limit: 4.5},
	})
	want := "reason=overload priority=2 expected=310ms target-latency=400ms in-flight=6 limit=4.5\n"
	is.True(strings.HasSuffix(out.String(), want))
}

package caller

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/standin/request"
	"github.com/masticspar/masticspar/internal/standin/tcp"
)

// runFlow opens one flow, calls respond once its request has arrived at the server, and returns the report.
func runFlow(t *testing.T, plan Plan, respond func(e *tcp.Endpoint, now time.Duration)) Report {
	t.Helper()
	var toServer, toCaller [][]byte
	var server *tcp.Endpoint
	plan.Services, plan.Source4 = services[:1], netip.MustParseAddr("10.0.0.1")
	plan.Rate, plan.Total, plan.Token, plan.Timeout = 1e6, 1, "x", 10*time.Second
	c := &Caller{Plan: plan, Random: rand.New(rand.NewPCG(1, 1)), Emit: func(b []byte) { toServer = append(toServer, b) }}
	responded := false
	for now := time.Duration(0); !c.Done() && now < time.Minute; now += 10 * time.Millisecond {
		c.Tick(now)
		for len(toServer)+len(toCaller) > 0 {
			in, out := toServer, toCaller
			toServer, toCaller = nil, nil
			for _, b := range in {
				var p packet.Packet
				if err := p.Parse(b); err != nil {
					t.Fatal(err)
				}
				if server == nil {
					server = &tcp.Endpoint{Key: p.Key.Reverse(), ISN: 99, Emit: func(s packet.Segment) {
						b, _ := s.Bytes()
						toCaller = append(toCaller, b)
					}}
				}
				server.Handle(now, &p)
			}
			for _, b := range out {
				c.HandlePacket(now, b)
			}
		}
		if server != nil && len(server.Read()) > 0 && !responded {
			responded = true
			respond(server, now)
		}
	}
	return c.Report()
}

// Guards against a checker that accepts a response with changed, missing or additional bytes, or one for another
// request.
func TestWrongResponsesAreDetected(t *testing.T) {
	body := string(request.Request{Token: "x-0"}.Body(0, 5))
	get, feed := Plan{Bytes: 5}, Plan{FeedShare: 1, FeedCount: 2, FeedInterval: time.Second}
	for _, c := range []struct {
		plan    Plan
		text    string
		outcome string
	}{
		{get, "x-0 host-0 5\n" + body, "whole"},
		{get, "x-0 host-0 5\n" + body[:4] + string([]byte{body[4] ^ 1}), "wrong-bytes"},
		{get, "x-0 host-0 5\n" + body + "\x00", "wrong-bytes"},
		{get, "x-0 host-0 5\n" + body[1:] + body[:1], "wrong-bytes"},
		{get, "x-1 host-0 5\n" + body, "wrong-bytes"},
		{get, "x-0 host-0 6\n" + body, "wrong-bytes"},
		{get, "x-0 host-0 5\n" + body[:4], "early-close"},
		{feed, "x-0 host-0 0\nx-0 host-0 1\n", "whole"},
		{feed, "x-0 host-0 0\nx-0 host-0 2\n", "wrong-bytes"},
		{feed, "x-0 host-0 0\nx-0 host-1 1\n", "wrong-bytes"},
		{feed, "x-0 host-0 0\n", "early-close"},
	} {
		is := is.New(t)
		r := runFlow(t, c.plan, func(e *tcp.Endpoint, now time.Duration) {
			e.Write(now, []byte(c.text))
			e.Close(now)
		})
		want := map[string]int{c.outcome: 1}
		if c.outcome == "whole" {
			want = map[string]int{}
		}
		is.Equal(r.Broken, want)       // want the outcome of the case
		is.Equal(r.Whole, 1-len(want)) // want 1 only for the outcome "whole"
	}
}

package caller

import (
	"cmp"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type counts struct {
	opened, whole, wholeFeeds, refused, malformed, unknown, retransmissions int

	broken   map[string]int
	hosts    map[string]int
	failures []Failure
}

// Failure describes a broken flow. Its cause is a key of Report.Broken.
type Failure struct {
	Flow     string        `json:"flow"`
	Token    string        `json:"token"`
	Cause    string        `json:"cause"`
	Host     string        `json:"host"`   // empty before the first line of the response
	Received int           `json:"got"`    // bytes of the body or lines of the feed
	Age      time.Duration `json:"age-ns"` // from the opening of the flow to its end
}

// Report counts the flows by outcome.
type Report struct {
	Opened     int `json:"opened"`
	Open       int `json:"open"`        // without an outcome yet
	Whole      int `json:"whole"`       // all responses are complete and correct
	WholeFeeds int `json:"whole-feeds"` // included in Whole
	// Refused counts flows whose SYN was rejected with a reset.
	Refused int `json:"refused"`
	// Broken counts the other flows by cause: reset-after-payload, timeout, connect-timeout, wrong-bytes, early-close,
	// moved (a response from another host than the first one).
	Broken map[string]int `json:"broken"`
	// Hosts counts the whole flows by host.
	Hosts map[string]int `json:"hosts"`
	// FirstResponse holds quantiles of the time from the first packet of a flow to the first byte of a response.
	FirstResponse   Quantiles `json:"first-answer-us"`
	Retransmissions int       `json:"retransmissions"`  // TCP timeouts of flows that have an outcome
	Unknown         int       `json:"unknown-segments"` // received segments of no existing flow
	Malformed       int       `json:"malformed"`        // received packets that cannot be parsed
	Failures        []Failure `json:"failures"`         // the first 20 broken flows
}

// Quantiles holds quantiles of a duration, in microseconds.
type Quantiles struct {
	P50 int64 `json:"p50"`
	P90 int64 `json:"p90"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// Report returns the current counts.
func (c *Caller) Report() Report {
	r := Report{
		Opened: c.counts.opened, Open: c.pending, Whole: c.counts.whole, WholeFeeds: c.counts.wholeFeeds,
		Refused: c.counts.refused, Broken: map[string]int{}, Hosts: map[string]int{},
		Retransmissions: c.counts.retransmissions, Unknown: c.counts.unknown, Malformed: c.counts.malformed,
		Failures: append([]Failure{}, c.counts.failures...),
	}
	for cause, n := range c.counts.broken {
		r.Broken[cause] = n
	}
	for host, n := range c.counts.hosts {
		r.Hosts[host] = n
	}
	if h := c.firstResponse; h != nil {
		r.FirstResponse = Quantiles{
			P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
	}
	return r
}

// ResetFirstResponse discards the first-response times recorded so far, for example during a warm-up.
func (c *Caller) ResetFirstResponse() {
	if c.firstResponse != nil {
		c.firstResponse.Reset()
	}
}

// recordProgress records received payload and, once for each flow, the first-response time.
func (c *Caller) recordProgress(now time.Duration, f *flow) {
	f.lastProgress = now
	if f.responded {
		return
	}
	f.responded = true
	if c.firstResponse == nil {
		c.firstResponse = hdrhistogram.New(1, maxLatencyMicros, 3)
	}
	_ = c.firstResponse.RecordValue(min((now - f.opened).Microseconds(), maxLatencyMicros)) // cannot be out of range
}

func (c *Caller) recordWhole(now time.Duration, f *flow) {
	c.counts.whole++
	if f.request.Feed {
		c.counts.wholeFeeds++
	}
	if c.counts.hosts == nil {
		c.counts.hosts = map[string]int{}
	}
	c.counts.hosts[f.host]++
	c.recordOutcome(now, f, "whole")
}

func (c *Caller) recordRefused(now time.Duration, f *flow) {
	c.counts.refused++
	c.recordOutcome(now, f, "refused")
}

// recordBroken counts the flow as broken and keeps a description of the first ones.
func (c *Caller) recordBroken(now time.Duration, f *flow, cause string) {
	if c.counts.broken == nil {
		c.counts.broken = map[string]int{}
	}
	c.counts.broken[cause]++
	if len(c.counts.failures) < maxFailures {
		c.counts.failures = append(c.counts.failures, Failure{
			Flow: f.key.String(), Token: f.request.Token, Cause: cause, Host: f.host, Received: f.received, Age: now - f.opened,
		})
	}
	c.recordOutcome(now, f, cause)
}

func (c *Caller) recordOutcome(now time.Duration, f *flow, outcome string) {
	f.outcome = outcome
	f.expires = now + lingerTime
	c.pending--
	if f.endpoint != nil {
		c.counts.retransmissions += f.endpoint.Retransmissions
	}
	if c.Ended != nil {
		c.Ended(f.key, outcome, cmp.Or(f.firstHost, f.host))
	}
}

// Pending returns the number of flows without an outcome.
func (c *Caller) Pending() int { return c.pending }

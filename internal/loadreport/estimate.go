package loadreport

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxEntries is the greatest number of entries that are kept of a reporter; one that keeps to the budget has fewer.
	maxEntries = 1024
	// cacheTime is how long an estimate is reused, unless another entry of the server arrives.
	cacheTime = 50 * time.Millisecond
	// maxDeviation is the greatest factor between the response time of a reporter and the median of all.
	maxDeviation = 2
	// maxUnconfirmed is the number of outstanding requests or failures that one reporter may have if the others have fewer.
	maxUnconfirmed = 4
	// maxScale is the greatest factor by which outstanding requests are scaled from a part of the requests of a reporter
	// to all of them, and from the reporters to the zone. A few reporters say little about the requests of tens of others.
	maxScale = 8
)

// Reasons for which reports are refused. They are part of the names of counters.
const (
	reasonOwn       = "own"
	reasonUnknown   = "unknown-member"
	reasonDuplicate = "duplicate"
	reasonOutdated  = "outdated"
)

// Estimate is what other entry VMs observed of a server.
type Estimate struct {
	// ResponseTime is the mean over recent responses; 0 if there was none.
	ResponseTime time.Duration
	// Samples is the number of responses that ResponseTime covers, decayed by their age.
	Samples float64
	// Outstanding is the estimated number of requests that the other entry VMs of the zone have outstanding.
	Outstanding float64
	// Failures is the number of refused handshakes and unanswered packets, decayed by their age.
	Failures float64
}

// server holds the received entries of a server, at most one of each reporter.
type server struct {
	entries  []entry
	estimate Estimate
	known    bool // whether any entry was in use at estimatedAt
	valid    bool
	// estimatedAt is when estimate was computed; valid is reset when an entry arrives.
	estimatedAt time.Duration
}

// entry is the last observation of one reporter.
type entry struct {
	reporter     *zoneMember
	session      uint64
	sequence     uint64 // of the report
	receivedAt   time.Duration
	observedAt   time.Duration // receivedAt less the age in the report
	responseTime float64       // in nanoseconds
	samples      float64
	outstanding  float64 // scaled for servers that did not fit into the report
	failures     float64
}

// liveEntry is an entry that is in use, with its weights at one time.
type liveEntry struct {
	responseTime, samples float64
}

// Handle applies the report of another entry VM.
func (x *Exchange) Handle(now time.Duration, m *Message) {
	if reason := x.refusal(now, m); reason != "" {
		x.Counters.Add("load-reports-refused", 1)
		x.Counters.Add("load-reports-refused-"+reason, 1)
		return
	}
	x.Counters.Add("load-reports-received", 1)
	r := x.reporters[m.From]
	r.session, r.sequence, r.receivedAt = m.Session, m.Sequence, now
	scale := m.scale()
	for i := range m.Servers {
		x.addEntry(now, r, &m.Servers[i], scale)
	}
	x.updateHeard(now)
}

// refusal returns why a report is refused, or the empty string. After retention without a report any session is
// accepted, because the clock from which the sender takes it may have been set back.
func (x *Exchange) refusal(now time.Duration, m *Message) string {
	r := x.reporters[m.From]
	switch {
	case m.From == x.Self:
		return reasonOwn
	case r == nil:
		return reasonUnknown
	case now-r.receivedAt >= retention || m.Session > r.session:
		return ""
	case m.Session == r.session && m.Sequence == r.sequence:
		return reasonDuplicate
	case m.Session < r.session || m.Sequence < r.sequence:
		return reasonOutdated
	}
	return ""
}

// scale returns the factor from the outstanding requests in the message to all of the sender.
func (m *Message) scale() float64 {
	included := 0.0
	for i := range m.Servers {
		included += float64(m.Servers[i].Outstanding)
	}
	return min(max(1, float64(m.Requests)/max(1, included)), maxScale)
}

func (x *Exchange) addEntry(now time.Duration, r *zoneMember, s *Server, scale float64) {
	v, i := x.servers[s.Token], -1
	if v != nil {
		i = slices.IndexFunc(v.entries, func(e entry) bool { return e.reporter == r })
	}
	if i < 0 {
		if r.entries >= maxEntries {
			x.Counters.Add("load-report-entries-dropped", 1)
			return
		}
		if v == nil {
			v = &server{}
			if x.servers == nil {
				x.servers = map[uint32]*server{}
			}
			x.servers[s.Token] = v
		}
		r.entries++
		i = len(v.entries)
		v.entries = append(v.entries, entry{})
	}
	v.valid = false
	v.entries[i] = entry{
		reporter: r, session: r.session, receivedAt: now, observedAt: now - time.Duration(s.Age)*ageUnit,
		responseTime: float64(s.ResponseTime) * float64(responseUnit), samples: float64(s.Samples) * countUnit,
		sequence: r.sequence, outstanding: float64(s.Outstanding) * scale, failures: float64(s.Failures) * countUnit,
	}
}

// isLive reports whether the entry is in use. Those of a former process of the reporter are not.
func (e *entry) isLive(now time.Duration) bool {
	return now-e.receivedAt < retention && !e.reporter.gone && e.session == e.reporter.session
}

// sweep removes the entries that are not in use.
func (x *Exchange) sweep(now time.Duration) {
	if now-x.sweptAt < sweepPeriod {
		return
	}
	x.sweptAt = now
	for token, v := range x.servers {
		v.entries = slices.DeleteFunc(v.entries, func(e entry) bool {
			live := e.isLive(now)
			if !live {
				e.reporter.entries--
			}
			return !live
		})
		if len(v.entries) == 0 {
			delete(x.servers, token)
		}
	}
}

func (x *Exchange) dropServer(token uint32) {
	if v := x.servers[token]; v != nil {
		for _, e := range v.entries {
			e.reporter.entries--
		}
		delete(x.servers, token)
	}
}

// updateHeard counts the reporters from which a report was received recently.
func (x *Exchange) updateHeard(now time.Duration) {
	x.heard, x.heardWeight, x.heardAt = 0, 0, now
	for _, r := range x.members {
		if age := now - r.receivedAt; age < retention {
			x.heard++
			x.heardWeight += weight(age)
		}
	}
}

// Estimate returns what other entry VMs observed of a server, and false if nothing recent is known.
func (x *Exchange) Estimate(now time.Duration, token uint32) (Estimate, bool) {
	v := x.servers[token]
	if v == nil {
		return Estimate{}, false
	}
	if !v.valid || (now-v.estimatedAt).Abs() >= cacheTime {
		v.estimate, v.known = x.combine(now, v)
		v.valid, v.estimatedAt = true, now
	}
	return v.estimate, v.known
}

func (x *Exchange) combine(now time.Duration, v *server) (e Estimate, known bool) {
	x.live = x.live[:0]
	var outstanding, failures total
	for i := range v.entries {
		r := &v.entries[i]
		if !r.isLive(now) {
			continue
		}
		known = true
		if r.sequence == r.reporter.sequence { // Servers that are missing from a later report have no outstanding requests.
			outstanding.add(r.outstanding * weight(now-r.receivedAt))
		}
		if age := now - r.observedAt; age < retention {
			w := weight(age)
			failures.add(r.failures * w)
			if r.samples > 0 {
				x.live = append(x.live, liveEntry{r.responseTime, r.samples * w})
			}
		}
	}
	if !known {
		return e, false
	}
	e.ResponseTime, e.Samples = meanResponse(x.live)
	if x.heard > 1 { // A single reporter cannot be compared with others.
		outstanding.limit(max(maxUnconfirmed, outstanding.rest()))
		failures.limit(max(maxUnconfirmed, failures.rest()))
	}
	e.Failures = failures.sum
	if x.heardWeight > 0 {
		heardWeight := x.heardWeight * weight(now-x.heardAt)
		e.Outstanding = outstanding.sum / heardWeight * float64(min(len(x.members), maxScale*x.heard))
	}
	return e, true
}

// total is a sum that knows its greatest term.
type total struct{ sum, greatest float64 }

func (t *total) add(v float64) {
	t.sum += v
	t.greatest = max(t.greatest, v)
}

// rest returns the sum without the greatest term.
func (t *total) rest() float64 { return t.sum - t.greatest }

// limit reduces the greatest term to v.
func (t *total) limit(v float64) { t.sum -= max(0, t.greatest-v) }

// meanResponse returns the mean response time of the entries, weighted by their samples, and the number of samples. Of
// two reporters both have the same weight; of more, the weights are limited so that none reaches half of the sum. Each
// value is then limited to maxDeviation from the weighted median, so a single wrong reporter changes the mean by less
// than that factor.
func meanResponse(live []liveEntry) (time.Duration, float64) {
	var samples total
	for _, e := range live {
		samples.add(e.samples)
	}
	if samples.sum == 0 {
		return 0, 0
	}
	greatest := samples.greatest
	switch len(live) {
	case 1:
	case 2:
		greatest = samples.rest()
	default:
		greatest = samples.rest() / 2
	}
	sum := 0.0
	for i := range live {
		live[i].samples = min(live[i].samples, greatest)
		sum += live[i].samples
	}
	lowest, highest := 0.0, float64(maxResponse*responseUnit)
	if len(live) > 2 {
		slices.SortFunc(live, func(a, b liveEntry) int { return cmp.Compare(a.responseTime, b.responseTime) })
		m := median(live, sum)
		lowest, highest = m/maxDeviation, m*maxDeviation
	}
	mean := 0.0
	for _, e := range live {
		mean += e.samples / sum * min(max(e.responseTime, lowest), highest)
	}
	if len(live) > 1 {
		samples.limit(max(1, samples.rest()))
	}
	return time.Duration(mean), samples.sum
}

// median returns the weighted median response time of sorted entries with the given sum of weights.
func median(live []liveEntry, sum float64) float64 {
	before := 0.0
	for _, e := range live {
		if before += e.samples; before >= sum/2 {
			return e.responseTime
		}
	}
	return live[len(live)-1].responseTime
}

package sizing

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/publication"
)

// readTimes computes the times at which a fleet reads the platform from the intervals of a Watcher. The platform
// replies at once or, during the outage, refuses at once, which is the worst case for the number of reads.
type readTimes struct {
	minBackoff           time.Duration
	published, down, end time.Duration
	random               *rand.Rand
	times                []time.Duration
}

// addReader adds the reads of one reader until stop; period is the time between two successful reads.
func (r *readTimes) addReader(period, stop time.Duration, watch, changed bool) {
	at, backoff := time.Duration(r.random.Int64N(int64(period))), r.minBackoff
	for at < stop {
		r.times = append(r.times, at)
		if at < r.down || at >= r.end {
			next := at + period
			switch {
			case watch && changed && at < r.published && next > r.published:
				next = r.published + time.Duration(r.random.Int64N(int64(maxPlatformDelay)))
			case watch && at < r.down && next > r.down: // The pending read fails when the outage starts.
				next = r.down + r.jitteredBackoff(r.minBackoff)
			}
			at, backoff = next, r.minBackoff
			continue
		}
		at += r.jitteredBackoff(backoff)
		backoff = min(2*backoff, publication.DefaultMaxBackoff)
	}
}

func (r *readTimes) jitteredBackoff(backoff time.Duration) time.Duration {
	return backoff/2 + time.Duration(r.random.Int64N(int64(backoff/2)+1))
}

// readRate returns the maximum number of reads in any second between two times, and the mean number per second.
func (r *readTimes) readRate(from, to time.Duration) (most, mean float64) {
	i, count := 0, 0
	for j, at := range r.times {
		if at < from || at >= to {
			continue
		}
		count++
		for i < j && (r.times[i] < from || r.times[i] <= at-time.Second) {
			i++
		}
		most = max(most, float64(j-i+1))
	}
	return most, float64(count) / (to - from).Seconds()
}

// BenchmarkPlatformReads computes the rate of platform reads over all readers of a fleet. The platform can serve about
// 2,000 reads per second.
func BenchmarkPlatformReads(*testing.B) {
	list := Table{Title: "The platform's list of VMs", Size: "VMs", Columns: []string{"list-B", "received-B/s"}}
	for _, size := range []int{8, 64, 167, 500} {
		vms := make([]publication.VM, size)
		for i := range vms {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
			vms[i] = publication.VM{
				Name: fmt.Sprintf("entry-%04d", i), ControlAddress: at.String(), AvailabilityZone: zoneName(i % targetZones),
				State: "live",
			}
		}
		n := float64(len(encode(vms)))
		list.Add(float64(size), n, n/publication.DefaultListPeriod.Seconds())
	}
	printTable(&list)
	for _, minBackoff := range []time.Duration{publication.DefaultMinBackoff, time.Second} {
		t := Table{
			Title: fmt.Sprintf("Reads a second over all daemons, first pause %v", minBackoff), Size: "VMs",
			Columns: []string{"quiet-mean", "quiet-most", "publication-most", "outage-first-most", "outage-mean", "return-most"},
		}
		for _, size := range []int{8, 64, 167, 500} {
			r := readTimes{
				minBackoff: minBackoff, published: 100 * time.Second, down: 200 * time.Second, end: 800 * time.Second,
				random: rand.New(rand.NewPCG(1, 1)),
			}
			for range size {
				r.addReader(publication.DefaultWatchTimeout, 900*time.Second, true, true)
				r.addReader(publication.DefaultWatchTimeout, 900*time.Second, true, false)
				r.addReader(publication.DefaultListPeriod, 900*time.Second, false, false)
			}
			slices.Sort(r.times)
			quietMost, quietMean := r.readRate(40*time.Second, 100*time.Second)
			publication, _ := r.readRate(100*time.Second, 110*time.Second)
			first, _ := r.readRate(200*time.Second, 210*time.Second)
			_, outage := r.readRate(220*time.Second, 800*time.Second)
			back, _ := r.readRate(800*time.Second, 900*time.Second)
			t.Add(float64(size), quietMean, quietMost, publication, first, outage, back)
		}
		printTable(&t)
	}
}

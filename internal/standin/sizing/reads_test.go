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

// reads are the times at which a fleet reads the platform, from the intervals of a Watcher alone. The platform answers
// at once or, in the outage, refuses at once, which is the worst case for the number of reads.
type reads struct {
	minPause             time.Duration
	published, down, end time.Duration
	random               *rand.Rand
	times                []time.Duration
}

// reader adds the reads of one reader until stop; period is the time between two successful ones.
func (r *reads) reader(period, stop time.Duration, watch, changed bool) {
	at, pause := time.Duration(r.random.Int64N(int64(period))), r.minPause
	for at < stop {
		r.times = append(r.times, at)
		if at < r.down || at >= r.end {
			next := at + period
			switch {
			case watch && changed && at < r.published && next > r.published:
				next = r.published + time.Duration(r.random.Int64N(int64(platformLag)))
			case watch && at < r.down && next > r.down: // The waiting read fails with the platform.
				next = r.down + r.wait(r.minPause)
			}
			at, pause = next, r.minPause
			continue
		}
		at += r.wait(pause)
		pause = min(2*pause, publication.DefaultMaxBackoff)
	}
}

func (r *reads) wait(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(r.random.Int64N(int64(pause/2)+1))
}

// most returns the greatest number of reads in any second between two times, and the mean.
func (r *reads) most(from, to time.Duration) (most, mean float64) {
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

// BenchmarkPlatformReads works out the reads of a fleet over all readers, of which the platform serves about 2,000 a
// second.
func BenchmarkPlatformReads(*testing.B) {
	list := Table{Title: "The platform's list of VMs", Size: "VMs", Columns: []string{"list-B", "received-B/s"}}
	for _, size := range []int{8, 64, 167, 500} {
		vms := make([]publication.VM, size)
		for i := range vms {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
			vms[i] = publication.VM{
				Name: fmt.Sprintf("entry-%04d", i), ControlAddress: at.String(), AvailabilityZone: zoneName(i % zonesOfTarget),
				State: "live",
			}
		}
		n := float64(len(encode(vms)))
		list.Add(float64(size), n, n/publication.DefaultListPeriod.Seconds())
	}
	show(&list)
	for _, minPause := range []time.Duration{publication.DefaultMinBackoff, time.Second} {
		t := Table{
			Title: fmt.Sprintf("Reads a second over all daemons, first pause %v", minPause), Size: "VMs",
			Columns: []string{"quiet-mean", "quiet-most", "publication-most", "outage-first-most", "outage-mean", "return-most"},
		}
		for _, size := range []int{8, 64, 167, 500} {
			r := reads{
				minPause: minPause, published: 100 * time.Second, down: 200 * time.Second, end: 800 * time.Second,
				random: rand.New(rand.NewPCG(1, 1)),
			}
			for range size {
				r.reader(publication.DefaultWatchTimeout, 900*time.Second, true, true)
				r.reader(publication.DefaultWatchTimeout, 900*time.Second, true, false)
				r.reader(publication.DefaultListPeriod, 900*time.Second, false, false)
			}
			slices.Sort(r.times)
			quietMost, quietMean := r.most(40*time.Second, 100*time.Second)
			publication, _ := r.most(100*time.Second, 110*time.Second)
			first, _ := r.most(200*time.Second, 210*time.Second)
			_, outage := r.most(220*time.Second, 800*time.Second)
			back, _ := r.most(800*time.Second, 900*time.Second)
			t.Add(float64(size), quietMean, quietMost, publication, first, outage, back)
		}
		show(&t)
	}
}

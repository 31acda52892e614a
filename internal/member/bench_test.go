package member

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSteadyStateLoad reports the load of one member, which must not grow with the number of members.
func BenchmarkSteadyStateLoad(b *testing.B) {
	for _, size := range []int{8, 64, 167, 500} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			n := newNetwork(b.Fatalf, size, 1)
			n.shareViews()
			n.Advance(time.Second)
			n.bytes = 0
			seconds := 0
			b.ResetTimer()
			start := time.Now()
			for b.Loop() {
				n.Advance(time.Second)
				seconds++
			}
			perMember := float64(size * seconds)
			b.ReportMetric(float64(n.bytes)/perMember, "bytes/s/member")
			b.ReportMetric(float64(time.Since(start).Microseconds())/perMember, "µs/s/member")
		})
	}
}

// Package counter holds the counters, gauges and histograms of a process in a go-metrics registry.
//
// Each cause of a refusal, drop or retry has its own counter, whose name consists of the event and the reason, such as
// refused-overload or dropped-hop-limit. A metric is created by its first use. Set.WriteText writes all metrics in the
// Prometheus text exposition format.
package counter

// Package counter keeps the counters and gauges of a process in a go-metrics registry.
//
// Each refusal and each retry has a counter of its own, named by what happened and why, such as
// refused-overload or dropped-hop-limit. A counter exists from its first use; the set is written in the text
// format that collectors scrape.
package counter

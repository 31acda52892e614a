// Package sizing measures what a daemon costs at several sizes of a fleet and fits the costs to lines.
//
// Its benchmarks are the source of the figures in docs/CAPACITY.md. They run many engines in one process, with links in
// memory and a timer service that is advanced by hand, and the single parts of an engine at growing sizes. Processor
// time is that of the process or thread, which other load on the machine disturbs less than elapsed time.
package sizing

// Package sizing measures the costs of a daemon at several sizes of a fleet and fits a line to each cost.
//
// Its benchmarks produce the figures in docs/CAPACITY.md. Some run many engines in one process, with links in memory
// and a timer service that the benchmark advances. Others run single components of an engine at increasing sizes. Costs
// are given in processor time of the process or thread, because other load on the machine affects it less than elapsed
// time.
package sizing

// Command soak runs daemons as processes on loopback addresses, injects faults through signals, proxies and the store,
// and checks what callers and backend servers observe.
//
// It exits with 0 when every check held, with 1 when a check failed or the run could not be started, and with 2 for
// invalid options.
package main

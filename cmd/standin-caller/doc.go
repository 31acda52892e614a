// Command standin-caller stands in for callers. It opens flows to services, checks every byte of the responses and
// prints a JSON report at the end.
//
// It exits with 0 after its last flow, SIGINT or SIGTERM, also when flows broke, with 1 when it could not start, and
// with 2 for unknown options.
package main

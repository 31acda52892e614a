// Package site simulates a whole site in one process: entry VMs, the fabric, hosts, callers and the platform.
//
// A Site runs entry.Engine, backend.Host and caller.Caller on one virtual clock. Each packet and message is an event in
// one queue, and all random choices come from the seed of the Config, so that equal seeds give equal runs. Methods and
// exported fields inject faults: killed and paused entry VMs, cuts between zones, blackholed paths, loss, and a
// platform that is down, slow or outdated.
//
// The site checks safety rules during the run and records each violation: payload of a flow reaches only one host and
// none after a refusal, packets are well formed and reach the right service, a request is executed once, and versions
// of documents never decrease.
package site

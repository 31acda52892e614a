// Package site simulates a whole site in one process: entry VMs, the fabric, hosts, callers and the platform.
//
// A Site runs entry.Engine, backend.Host and caller.Caller on one virtual clock. Everything that travels is an event
// in one queue, and all randomness comes from the seed of the Config, so that equal seeds give equal runs. Faults are
// methods and exported fields: kill, pause, cut, silent paths, loss, and a platform that is down, slow or outdated.
//
// After each event the site checks the rules that must hold whatever happens and records each violation.
package site

// Package timer is the time source of a process.
//
// A Service keeps a monotonic reading that starts at zero with the process. Parts subscribe
// to it with a period and are called from Tick, one after the other. A test or a simulation
// uses the zero value and moves it with Advance; a program uses New, which drives Tick from a
// goroutine.
//
// The service also detects that the process did not run for a while, for example because
// the VM was paused. It does so from the distance between two checks, so a caller that checks
// before it acts on a packet learns about the pause even if no tick has run since.
package timer

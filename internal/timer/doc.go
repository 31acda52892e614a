// Package timer provides the time source of a process.
//
// A Service has a monotonic clock that starts at zero with the service. Subscribers register a function with a period;
// Tick calls the functions that are due, one after the other. A program uses New, which calls Tick from a goroutine. A
// test or a simulation uses the zero value and advances its clock with Advance.
//
// The service also detects pauses of the process, for example because the VM was paused, from the time between two
// calls of Check. A caller that calls Check before it handles a packet detects a pause even if Tick has not run since.
package timer

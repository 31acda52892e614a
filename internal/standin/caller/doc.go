// Package caller generates the load of the callers of a service and checks the responses.
//
// A Caller opens flows from a range of inner addresses at a given rate and sends one or more requests on each. It
// checks every byte of the responses and counts the outcome of each flow: whole (all responses are complete and
// correct), refused, or broken with a cause. Time is passed in; packets are sent through the Emit callback.
//
// Client runs a Caller in a process, with a socket to the fabric and a timer.
package caller

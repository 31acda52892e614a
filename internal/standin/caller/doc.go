// Package caller stands in for the callers of a service.
//
// A Caller opens flows from a range of inner addresses at a given rate, sends one request on each, checks every byte of
// the response, and counts how each flow ended. Time is passed in; packets leave through the Emit function field.
//
// Client runs a Caller in a process, with a socket to the fabric and a timer.
package caller

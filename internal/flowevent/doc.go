// Package flowevent defines what the packets of a flow tell about the host that serves it.
//
// The flow table creates an Event for each step of a flow, and the capacity model sums the events up for each host.
package flowevent

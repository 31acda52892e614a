// Package flowevent defines the events of a flow, from which the state and capacity of its host are estimated.
//
// The flow table creates an Event for each step of a flow, such as its handshake or the response to a request. The
// capacity model aggregates the events of each host.
package flowevent

// Package flowevent defines the events of a flow, from which the state and capacity of its host are estimated.
//
// Packages flow and conntrack create an Event for each step of a flow, such as its handshake or the response to a
// request. Packages capacity, admission and placement aggregate the events of each host.
package flowevent

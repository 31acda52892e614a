// Package placement chooses the backend server of a new flow.
//
// An entry VM sees the requests of the flows that reach it and, from the acknowledgements of callers, how long the
// responses took. The cost of a server is its recent response time multiplied by the number of requests that this entry
// VM has outstanding there, so slow and busy servers receive fewer flows. Response times include the load from other
// entry VMs, so the choices of all entry VMs converge without messages between them.
//
// A server is suspected after the first handshake that it refuses or the first packet that it does not answer. A
// suspected server receives a trial flow from time to time until it responds. Servers in other availability zones are
// used when the cost of waiting in the local zone exceeds that of the longer path.
//
// While a service is overloaded, a server is chosen at random, weighted by its cost, and a part of the servers is kept
// for urgent routes. The cost then includes what other entry VMs reported.
//
// A server that has just started or come back has a limit of outstanding requests, its room in package pace. While the
// limit is reached, the target latency is added to its cost.
package placement

// Package pace limits the requests that an entry VM has outstanding at a server that has just started, come back or
// failed, by how the server answers.
//
// The limit is the room of the server. Answers within the time that other servers need, or that this server needed
// before, double the room; much slower answers, refusals and silence reduce it. A room below 1 is the share of cases in
// which one request may be outstanding, because one of hundreds of entry VMs sees a server only once in several
// seconds. For the same reason the room returns to 1 with time alone, more slowly after each reduction.
//
// An entry VM reduces its own share only, once for all requests that were sent before the reduction. The reductions of
// many entry VMs therefore add up to one reduction of the load of the server.
package pace

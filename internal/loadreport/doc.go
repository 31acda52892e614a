// Package loadreport exchanges what the entry VMs of an availability zone observed of loaded servers.
//
// An Exchange follows the response times, outstanding requests and failures of all servers that this entry VM sends
// requests to. While placement marks servers as loaded, it sends their observations to the other entry VMs of the zone,
// within a budget of bytes per second. A report holds states and no differences, so a lost or duplicated report causes
// no lasting error. Estimate combines the reports of the others, limits the influence of each reporter, and scales the
// outstanding requests from the reporters that were heard to the zone. Nothing is sent while no server is marked.
//
// The package uses no sockets and no clock: callers pass the time, and messages are sent through a callback. An
// Exchange is not safe for concurrent use.
package loadreport

// Package publication reads documents from the configuration service of the platform over HTTP.
//
// A Watcher keeps one long poll open for each document and hands every document that the service returns to a callback,
// which decides by version whether it becomes active. It also reads the list of VMs periodically; this list lags behind
// the real state. A connection on which a response times out is replaced by a new one from another local port, because
// the network path of the old one can stay broken while new connections work.
//
// When the service was restored from a copy, it may have a lower version than the active one. The Watcher then watches
// from the version that the service has, so that a publication which cannot become active is reported and not ignored.
// Requests carry the era of the last response, and the service responds at once when it has another one.
package publication

// Package publication reads the configuration service of the platform over HTTP.
//
// A Watcher keeps one waiting read (long poll) for each document and hands over whatever the service returns; whether a
// document is put in force is decided elsewhere, by its version. It also reads the lagging list of VMs from time to
// time. A connection that went silent is replaced by a new one from another local port, because the path of the old one
// may be broken for good while new ones work.
package publication

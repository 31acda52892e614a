// Package rules reads the published rules of the operators: leaving hosts, availability zones of services and the
// greatest shares of hosts.
//
// A Document may name hosts and services that the inventory does not have (yet), because the two documents are
// published independently.
package rules

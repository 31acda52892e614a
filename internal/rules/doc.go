// Package rules decodes and validates the published rules of the operators: hosts that are leaving, availability zones
// of services and greatest shares of hosts.
//
// A Document may name hosts and services that are not (yet) in the inventory, because the two documents are published
// independently.
package rules

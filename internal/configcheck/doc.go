// Package configcheck finds faults in a configuration before it is published, and compares it with the one in force.
//
// It reads no files and makes no calls. The configuration comes from store.ReadDocument, which uses the decoder of the
// entry VMs, so that a configuration without faults is one that they accept. Servers and evacuations are only
// considered if they are given.
//
// An error is a reason for which entry VMs refuse the configuration, or a value that cannot work as written. A warning
// is about valid content that is probably unintended.
package configcheck

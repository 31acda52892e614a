// Package inventory reads the published asset register: services, availability zones and hosts.
//
// A Document is valid on its own; whether it is put in force is decided by its version in package fleet.
package inventory

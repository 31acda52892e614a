// Package inventory decodes and validates the published inventory: services, availability zones and hosts.
//
// A Document is valid on its own; package fleet decides by its version whether it becomes active.
package inventory

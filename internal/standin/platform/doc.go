// Package platform stands in for the configuration service of the platform in tests and in the demo.
//
// It serves the reads that the real service offers. Publishing and the switches for faults exist only here: the real
// service cannot be written by VMs.
package platform

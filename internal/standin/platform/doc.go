// Package platform simulates the configuration service of the platform for tests and the demo.
//
// It serves the same reads as the real service: long polls of the published documents and the list of VMs. The requests
// that publish a document or switch a fault exist only here, because VMs cannot write to the real service.
package platform

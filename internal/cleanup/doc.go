// Package cleanup releases the resources of a process in the reverse order of their creation.
//
// Start runs the steps of a start and undoes the completed ones if a later step fails. A Stack collects cleanup
// functions one by one.
package cleanup

// Package snapshot transfers the complete state of servers and routes from one entry VM to another.
//
// An entry VM that starts while the store is unavailable or refuses its calls gets the snapshot of another entry VM
// over HTTP. The snapshot is as old as the last contact of that entry VM with the store, but an old state is better
// than none.
package snapshot

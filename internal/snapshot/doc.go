// Package snapshot hands the whole picture of servers and routes from one entry VM to another.
//
// An entry VM that starts while the store is away, or that the store refuses, gets the picture of another one by HTTP.
// It is as old as the other's last contact with the store, which is better than none.
package snapshot

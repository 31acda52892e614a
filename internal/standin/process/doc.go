// Package process holds what the stand-in programs share: the log, the HTTP control address and the signal that ends
// the program.
package process

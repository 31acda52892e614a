// Package process provides the parts that the stand-in programs share: the log, the HTTP control server and the signals
// that stop the program.
package process

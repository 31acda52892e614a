// Package logwriter writes log lines to a file that may stop taking them.
//
// A Writer never blocks: lines that the file does not take in time are dropped and counted, and so are lines above a
// rate. Packets must not wait for whoever reads the log.
package logwriter

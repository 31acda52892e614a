// Package control reads and writes the JSON bodies of the HTTP control addresses of stand-ins.
package control

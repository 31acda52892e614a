// Package request is the line protocol between the caller and backend stand-ins.
//
// A caller sends "GET <bytes> <token>\n" and gets the line "<token> <host> <bytes>\n" followed by that many bytes, which
// follow from the token, so that the caller can check every byte. "FEED <count> <interval-ms> <token>\n" gets count lines
// "<token> <host> <index>\n", one for each interval, while the caller stays silent.
package request

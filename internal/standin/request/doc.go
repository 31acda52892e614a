// Package request implements the line protocol between the caller and backend stand-ins.
//
// A caller sends "GET <bytes> <token>\n" and receives the line "<token> <host> <bytes>\n" followed by that many bytes.
// The bytes are derived from the token, so that the caller can check each of them. For "FEED <count> <interval-ms>
// <token>\n" it receives count lines "<token> <host> <index>\n", one per interval, and sends nothing meanwhile.
package request

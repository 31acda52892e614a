// Package authority creates the keys of stand-in sites: a CA and one certificate for each entry VM.
package authority

// Package authority issues certificates for tests, stand-ins and the demo.
//
// An Authority is a CA in memory. It writes its certificate, and a certificate and key for each member, as the PEM
// files that a daemon reads. It is not suitable for production: keys are written without a passphrase.
package authority

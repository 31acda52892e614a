// Package authority issues certificates for tests, stand-ins and the demo.
//
// An Authority is a CA that lives in memory. It writes its certificate and those of the named members as PEM files,
// the form in which a daemon reads them. It is no CA for production: keys are written without a passphrase.
package authority

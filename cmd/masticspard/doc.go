// Command masticspard is the daemon of an entry VM: it forwards flows of callers to backend servers.
//
// It reads a JSON file with the settings, which is given with --settings. The key "forwarding" selects the mode. In
// owner mode each flow has an owner entry VM, and the daemon also reads the CA certificate, its own certificate and
// its private key from the files that the settings name. In token mode the backend servers answer callers directly
// and a token in each packet names the server. A daemon in token mode reloads the settings file after SIGHUP or when
// the file changes.
//
// Log lines consist of an event name and key=value pairs. Owner mode logs to standard error, token mode to standard
// output; the error that ends the process is always logged to standard error.
//
// Exit codes: 0 after a drain that SIGINT, SIGTERM or an operator started, 1 when the daemon failed or a second
// signal interrupted the drain, and 2 when the flags or the settings are invalid.
package main

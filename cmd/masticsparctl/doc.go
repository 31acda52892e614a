// Command masticsparctl is the command-line tool for operators. It checks documents before they are published, shows
// the status and the flows of an entry VM, starts the graceful shutdown of an entry VM, and searches the logs of
// entry VMs.
//
// The command check reads the files of an inventory and of rules, and optionally an older pair to compare with. For the
// token mode, it reads a configuration, and optionally an older one or the store. The
// command explain reads log files of entry VMs or standard input. The other commands read no files. All commands but
// explain can query the operator address of an entry VM.
//
// Exit codes: 0 for success; 1 when a document is invalid or would be refused, when the entry VM refused the request,
// or when a log cannot be read; 2 for wrong usage; 3 when the entry VM is unreachable or sent an unexpected response.
// The command check --configuration returns 1 if it has findings and 2 if a file or the store cannot be read.
package main

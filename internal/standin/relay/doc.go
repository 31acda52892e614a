// Package relay is a minimal batched UDP relay. It reads a batch of datagrams and sends the same buffers without
// parsing them. The throughput of a forwarder is measured relative to that of the relay in the same run.
package relay

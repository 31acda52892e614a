// Package relay is a bare batched UDP relay: it reads a batch and sends the same buffers on, without looking at them. The
// throughput of a forwarder is measured as a ratio to it in the same run.
package relay

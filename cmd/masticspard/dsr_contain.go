package main

import (
	"runtime/debug"
	"time"

	"go.uber.org/zap"
)

// maxLoggedBytes is the greatest number of bytes of an input that are logged after a panic.
const maxLoggedBytes = 64

// contain is deferred by the handler of one input, such as a packet or a message. It recovers a panic, so that one
// malformed input or unexpected state does not end the process and all its flows.
func (d *dsrDaemon) contain(kind string, input []byte) {
	v := recover()
	if v == nil {
		return
	}
	d.counters.Add("panics-contained", 1)
	d.log.Error("panic-contained", zap.String("kind", kind), zap.Any("panic", v), zap.Int("bytes", len(input)),
		zap.Binary("input", input[:min(len(input), maxLoggedBytes)]), zap.ByteString("stack", debug.Stack()))
}

// handleContained handles one packet and contains a panic.
func (d *dsrDaemon) handleContained(now, arrived time.Duration, b []byte) {
	defer d.contain("packet", b)
	d.handlePacket(now, arrived, b)
}

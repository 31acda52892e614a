// Command masticspard is the daemon of one entry VM.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/masticspar/masticspar/internal/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

const errSettings = errors.ConstError("settings")

func main() {
	file, check := "", false
	flaggy.SetName("masticspard")
	flaggy.SetDescription("Balances flows of callers over backend servers on one entry VM.")
	flaggy.DefaultParser.AdditionalHelpAppend = `
Example: masticspard --settings entry-1.json

Exit codes: 0 after a drain that SIGTERM or an operator asked for, 1 when the daemon failed or a second SIGTERM ended the
drain, 2 for wrong settings.`
	flaggy.String(&file, "s", "settings", "JSON file with the settings")
	flaggy.Bool(&check, "c", "check", "only check the settings")
	flaggy.Parse()

	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log := zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoder), zapcore.Lock(os.Stderr), zapcore.InfoLevel))
	if err := run(file, check, log); err != nil {
		log.Error("stopped", zap.Error(err))
		if errors.Is(err, errSettings) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailed)
	}
}

func run(file string, check bool, log *zap.Logger) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return errors.WithType(err, errSettings)
	}
	s, err := settings.Decode(file, b)
	if err != nil {
		return errors.WithType(err, errSettings)
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	// Two, because a second signal must not be lost while the first is handled.
	limitMemory(s.FlowCapacity)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	d, stop, err := newDaemon(s, log.With(zap.String("name", s.Name)))
	if err != nil {
		return errors.Trace(err)
	}
	signalled := false
	select {
	case v := <-signals:
		signalled = true
		d.log.Info("signal-received", zap.Stringer("signal", v))
		d.drain()
	case <-d.draining:
	}
	if err := d.waitDrained(signals, signalled); err != nil {
		return err // Nothing is closed in order, so that the process ends at once.
	}
	stop()
	d.log.Info("stopped")
	return nil
}

// limitMemory keeps the heap from doubling between two collections, so that a full flow table fits the 256 MB that a
// daemon may use for control. GOMEMLIMIT in the environment goes first.
func limitMemory(flowCapacity int) {
	const base, perFlow = 150 << 20, 100 // bytes; a pin with its index takes 98
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(base + perFlow*int64(flowCapacity))
	}
}

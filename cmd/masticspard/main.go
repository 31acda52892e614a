package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	dsrsettings "github.com/masticspar/masticspar/internal/dsr/settings"
	"github.com/masticspar/masticspar/internal/logwriter"
	"github.com/masticspar/masticspar/internal/settings"
)

// heapShare is the share of the VM's memory that the heap may use in token mode.
const heapShare = 0.6

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// errSettings marks errors that end the process with exitSettings.
const errSettings = errors.ConstError("settings")

func main() {
	file, check := "", false
	flaggy.SetName("masticspard")
	flaggy.SetDescription("Balances flows of callers across backend servers on an entry VM.")
	flaggy.DefaultParser.AdditionalHelpAppend = `
Example: masticspard --settings entry-1.json

Exit codes: 0 after a drain started by SIGINT, SIGTERM or an operator, 1 if the daemon failed or a second signal
interrupted the drain, 2 if the flags or the settings are invalid.`
	flaggy.String(&file, "s", "settings", "path of the JSON settings file")
	flaggy.Bool(&check, "c", "check", "check the settings and exit")
	flaggy.Parse()

	log := newLogger(zapcore.Lock(os.Stderr))
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
	if usesTokenMode(b) {
		return runDSR(file, b, check)
	}
	s, err := settings.Decode(file, b)
	if err != nil {
		return errors.WithType(err, errSettings)
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	limitMemory(s.FlowCapacity)
	// The buffer holds two signals, so that a second one is not lost while the first is handled.
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
		return err // Skips the orderly shutdown so that the process exits immediately.
	}
	stop()
	d.log.Info("stopped")
	return nil
}

// usesTokenMode reports whether the settings select token mode. It does not validate them.
func usesTokenMode(b []byte) bool {
	var s struct {
		Forwarding string `json:"forwarding"`
	}
	return json.Unmarshal(b, &s) == nil && s.Forwarding == dsrsettings.Forwarding
}

// runDSR runs the daemon in token mode. It logs to standard output and does not block when the reader of the log is
// slow.
func runDSR(file string, b []byte, check bool) error {
	s, err := dsrsettings.Decode(file, b)
	if err != nil {
		return errors.WithType(err, errSettings)
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(heapShare * s.MemoryMB * (1 << 20)))
	}
	out, closeLog := logwriter.New(os.Stdout, 0)
	defer closeLog()
	omitted := metrics.NewCounter()
	log := newLogger(out).WithOptions(sampled(omitted)).With(zap.String("name", s.Name))
	signals, reloads := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(reloads, syscall.SIGHUP)
	d, stop, err := newDSRDaemon(s, log)
	if err != nil {
		return errors.Trace(err)
	}
	if err := d.counters.Registry.Register("log-lines-omitted", omitted); err != nil {
		return errors.Trace(err)
	}
	cancelReload := d.watchSettings(reloads, file)
	defer cancelReload()
	v := <-signals
	log.Info("signal-received", zap.Stringer("signal", v))
	if err := d.drain(signals); err != nil {
		return err // Skips the orderly shutdown so that the process exits immediately.
	}
	stop()
	log.Info("stopped")
	return nil
}

// Log sampling in token mode, per event name and second: the first sampleFirst lines are written, then every
// sampleThereafter-th line.
const (
	sampleFirst      = 15
	sampleThereafter = 50
)

// sampled returns an option that limits the log lines of each event and counts the omitted lines.
func sampled(omitted metrics.Counter) zap.Option {
	return zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, sampleFirst, sampleThereafter,
			zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
				if d&zapcore.LogDropped != 0 {
					omitted.Inc(1)
				}
			}))
	})
}

// newLogger returns a logger that writes each event as one line of key=value pairs.
func newLogger(out zapcore.WriteSyncer) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoder), out, zapcore.InfoLevel))
}

// limitMemory sets the memory limit of the Go runtime, so that the heap does not double between two collections and a
// full flow table fits into the 256 MB that a daemon may use for control. The environment variable GOMEMLIMIT takes
// precedence.
func limitMemory(flowCapacity int) {
	const base, perFlow = 150 << 20, 100 // Bytes; a pin with its index takes 98.
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(base + perFlow*int64(flowCapacity))
	}
}

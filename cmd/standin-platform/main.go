package main

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/juju/errors"
	"github.com/masticspar/masticspar/internal/standin/platform"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gopkg.in/tomb.v2"
)

func main() {
	listen, directory := "127.0.0.1:7070", ""
	flaggy.SetName("standin-platform")
	flaggy.SetDescription("Stands in for the configuration service of the platform. Example: " +
		"standin-platform -listen 127.0.0.1:7070 -directory ./config")
	flaggy.String(&listen, "l", "listen", "address to serve HTTP on")
	flaggy.String(&directory, "d", "directory", "directory with inventory.json, rules.json and vms.json to publish")
	flaggy.Parse()
	log := zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(zap.NewProductionEncoderConfig()),
		zapcore.Lock(os.Stdout), zap.InfoLevel))
	if err := run(listen, directory, log); err != nil {
		log.Error("stopped", zap.Error(err))
		os.Exit(1)
	}
}

func run(address, directory string, log *zap.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	log.Info("listening", zap.Stringer("address", listener.Addr()))
	standin := &platform.Server{}
	server := &http.Server{Handler: standin.Handler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var tb tomb.Tomb
	tb.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Trace(err)
		}
		return nil
	})
	if directory != "" {
		tb.Go(func() error {
			publishFiles(&tb, standin, directory, log)
			return nil
		})
	}
	select {
	case s := <-stop:
		log.Info("stopping", zap.Stringer("signal", s))
		tb.Kill(nil)
	case <-tb.Dying():
	}
	_ = server.Close() // It closes the connections of long polls; their clients retry.
	return tb.Wait()
}

// publishFiles publishes the files of the directory whenever their content changes, until tb is dying.
func publishFiles(tb *tomb.Tomb, standin *platform.Server, directory string, log *zap.Logger) {
	published := map[string][]byte{}
	ticker := time.NewTicker(500 * time.Millisecond) // between two reads of the files
	defer ticker.Stop()
	for {
		for _, name := range []string{"inventory", "rules", "vms"} {
			b, err := os.ReadFile(filepath.Join(directory, name+".json"))
			if err != nil || bytes.Equal(b, published[name]) {
				continue
			}
			published[name] = b
			if name == "vms" {
				err = standin.SetVMs(b)
			} else {
				err = standin.Publish(name, b)
			}
			log.Info("file read", zap.String("document", name), zap.Int("bytes", len(b)), zap.Error(err))
		}
		select {
		case <-ticker.C:
		case <-tb.Dying():
			return
		}
	}
}

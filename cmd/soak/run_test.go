package main

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a run that ends with a panic instead of an error when a daemon cannot be started.
func TestMissingProgramIsReported(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "masticspard")
	_, err := run(options{Binary: binary, Seed: 1, Duration: time.Second, Daemons: 2, Servers: 2, Callers: 1})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), binary))
}

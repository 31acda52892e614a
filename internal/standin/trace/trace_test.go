package trace

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against a trace that is only partly replayed because a line of it cannot be parsed.
func TestEveryLineIsRead(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	write := func(text string) {
		is.NoErr(os.WriteFile(filepath.Join(directory, "RULE.txt"), []byte(text), 0o600))
	}
	write("syn 0 1 2\nheal\n")
	traces, err := ReadAll(directory)
	is.NoErr(err)
	is.Equal(traces, []Trace{{Name: "RULE", Events: []Event{{"syn", [3]int{0, 1, 2}}, {Name: "heal"}}}})
	for _, bad := range []string{"syn 0\n\nheal\n", "syn x\n", "syn 0 1 2 3\n"} {
		write(bad)
		_, err := ReadAll(directory)
		is.True(err != nil) // want an error for the invalid line
	}
}

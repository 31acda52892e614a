package history

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against taking a change of the copy that a store was restored from for a later one.
func TestLowerRevisionOfLaterEraIsNotAfter(t *testing.T) {
	is := is.New(t)
	lost := Position{Era: 1, Revision: 950}
	for _, test := range []struct {
		p       Position
		after   bool
		compare int
	}{
		{Position{1, 949}, false, -1},
		{Position{1, 950}, false, 0},
		{Position{1, 951}, true, 1},
		{Position{2, 300}, false, 1},
		{Position{2, 950}, false, 1},
		{Position{2, 951}, true, 1},
		{Position{0, 951}, false, -1},
	} {
		is.Equal(test.p.After(lost), test.after)
		is.Equal(test.p.Compare(lost), test.compare)
	}
	is.True(lost.After(Position{}))
}

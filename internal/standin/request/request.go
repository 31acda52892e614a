package request

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// MaxLine is the maximum length of a request or header line in bytes.
const MaxLine = 256

// MaxBytes is the maximum size of a response in bytes.
const MaxBytes = 16 << 20

// Request is one request of a caller.
type Request struct {
	// Token identifies the request; it contains no spaces.
	Token string
	// Bytes is the size of the response body to a GET.
	Bytes int
	// Feed selects a FEED instead of a GET. It has Count lines, sent one per Interval.
	Feed     bool
	Count    int
	Interval time.Duration
}

// Parse parses a request line without its line feed.
func Parse(line string) (Request, error) {
	var r Request
	var ms int
	var err error
	if strings.HasPrefix(line, "FEED ") {
		r.Feed = true
		_, err = fmt.Sscanf(line, "FEED %d %d %s", &r.Count, &ms, &r.Token)
		r.Interval = time.Duration(ms) * time.Millisecond
	} else {
		_, err = fmt.Sscanf(line, "GET %d %s", &r.Bytes, &r.Token)
	}
	if err != nil || r.Bytes < 0 || r.Bytes > MaxBytes || r.Count < 0 || r.Feed && ms <= 0 {
		return r, errors.NotValidf("request line %q", line)
	}
	return r, nil
}

// Line returns the request line with its line feed.
func (r Request) Line() string {
	if r.Feed {
		return fmt.Sprintf("FEED %d %d %s\n", r.Count, r.Interval.Milliseconds(), r.Token)
	}
	return fmt.Sprintf("GET %d %s\n", r.Bytes, r.Token)
}

// Header returns the first line of the response of host to a GET, or line n of a feed, with its line feed.
func (r Request) Header(host string, n int) string {
	if !r.Feed {
		n = r.Bytes
	}
	return fmt.Sprintf("%s %s %d\n", r.Token, host, n)
}

// Host returns the host name of a header line, given without its line feed. The result is false if the line is not the
// header of r, or not line n of a feed.
func (r Request) Host(line string, n int) (string, bool) {
	fields := strings.Split(line, " ")
	if len(fields) != 3 || line+"\n" != r.Header(fields[1], n) {
		return "", false
	}
	return fields[1], true
}

// Body returns the response body from offset up to but not including end.
func (r Request) Body(offset, end int) []byte {
	b := make([]byte, 0, end-offset)
	seed := xxhash.Sum64String(r.Token)
	for i := offset; i < end; i++ {
		// The finalizer of SplitMix64 makes neighbouring bytes independent, so that shifted bytes are detected.
		x := seed + uint64(i)*0x9e3779b97f4a7c15
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		b = append(b, byte(x>>56))
	}
	return b
}

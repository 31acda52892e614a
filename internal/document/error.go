package document

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Error says which field of which document is wrong and what is allowed there.
type Error struct {
	// Document is the name of the document, such as inventory.
	Document string
	// Field is the JSON path of the field; empty means the document as a whole.
	Field string
	// Allowed is the allowed range or the allowed values.
	Allowed string
	// Got is what the document has instead.
	Got string
}

// Error returns the document, the field, what is allowed and what was found.
func (e *Error) Error() string {
	field := e.Field
	if field == "" {
		field = "document"
	}
	return fmt.Sprintf("%s: %s: must be %s, got %s", e.Document, field, e.Allowed, e.Got)
}

// Checker keeps the first fault that a validation finds; only Document has to be set.
type Checker struct {
	// Document is the name that errors carry.
	Document string

	err error
}

// Err returns the first fault or nil.
func (c *Checker) Err() error { return c.err }

// Require records a fault of field unless ok holds.
func (c *Checker) Require(ok bool, field, allowed string, got any) {
	if ok || c.err != nil {
		return
	}
	c.err = &Error{Document: c.Document, Field: field, Allowed: allowed, Got: shorten(fmt.Sprint(got))}
}

// MaxVersion is the greatest version of a document; JSON tools keep integers exactly up to it.
const MaxVersion = 1 << 53

// Version records a fault unless n can be the version of a document.
func (c *Checker) Version(n uint64) {
	c.Require(n >= 1 && n <= MaxVersion, "version", fmt.Sprintf("an integer from 1 to %d", MaxVersion), n)
}

const maxNameLength = 63

// Name records a fault unless s is a name: letters, digits, dots, dashes and underscores.
func (c *Checker) Name(field, s string) {
	ok := s != "" && len(s) <= maxNameLength
	for _, r := range s {
		ok = ok && (r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._-", r))
	}
	if ok {
		return
	}
	c.Require(false, field, "a name of 1 to 63 letters, digits, '.', '_' or '-'", quote(s))
}

// Unique records a fault if seen already has the value and adds it otherwise.
func Unique[T comparable](c *Checker, seen map[T]bool, field, what string, value T) {
	if seen[value] {
		c.Require(false, field, what, fmt.Sprintf("%v again", value))
	}
	seen[value] = true
}

// Address records a fault unless a is a unicast IP address without a scope and a port.
func (c *Checker) Address(field string, a netip.AddrPort) {
	ip := a.Addr()
	// A scope names an interface of one machine, and an IPv4-mapped address would be a second spelling of the same one.
	ok := ip.IsValid() && a.Port() > 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == "" && !ip.Is4In6()
	if ok {
		return
	}
	got := a.String()
	if !ip.IsValid() {
		got = "nothing"
	}
	c.Require(false, field, `a unicast "ip:port" with a port from 1 to 65535`, got)
}

// Duration records a fault unless d is from low to high.
func (c *Checker) Duration(field string, d Duration, low, high time.Duration) {
	if t := time.Duration(d); t < low || t > high {
		c.Require(false, field, fmt.Sprintf("a duration from %v to %v", low, high), t)
	}
}

// Integer records a fault unless n is from low to high.
func (c *Checker) Integer(field string, n, low, high int) {
	if n < low || n > high {
		c.Require(false, field, fmt.Sprintf("an integer from %d to %d", low, high), n)
	}
}

func quote(s string) string { return fmt.Sprintf("%q", s) }

// Shortens what an error repeats, because the source of a document may be anyone.
func shorten(s string) string {
	const maxLength = 80
	if len(s) > maxLength {
		return strings.ToValidUTF8(s[:maxLength], "") + "..."
	}
	return s
}

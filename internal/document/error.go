package document

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Error reports an invalid field of a document and the allowed values.
type Error struct {
	// Document is the name of the document, such as inventory.
	Document string
	// Field is the JSON path of the field; it is empty for a fault of the whole document.
	Field string
	// Allowed describes the allowed range or values; it completes "must be".
	Allowed string
	// Got describes the value in the document, shortened to 80 bytes if it is longer.
	Got string
}

// Error returns a text with all fields of e.
func (e *Error) Error() string {
	field := e.Field
	if field == "" {
		field = "document"
	}
	return fmt.Sprintf("%s: %s: must be %s, got %s", e.Document, field, e.Allowed, e.Got)
}

// Checker records the first fault that a validation finds.
type Checker struct {
	// Document is the name of the document in errors.
	Document string

	err error
}

// Err returns the first fault as an *Error, or nil.
func (c *Checker) Err() error { return c.err }

// Require records a fault of field unless ok is true.
func (c *Checker) Require(ok bool, field, allowed string, got any) {
	if ok || c.err != nil {
		return
	}
	c.err = &Error{Document: c.Document, Field: field, Allowed: allowed, Got: shorten(fmt.Sprint(got))}
}

// MaxVersion is the greatest version of a document. JSON tools represent integers exactly up to this value.
const MaxVersion = 1 << 53

// Version records a fault unless n is a valid version, from 1 to MaxVersion.
func (c *Checker) Version(n uint64) {
	c.Require(n >= 1 && n <= MaxVersion, "version", fmt.Sprintf("an integer from 1 to %d", MaxVersion), n)
}

// maxNameLength is the greatest length of a name in bytes.
const maxNameLength = 63

// Name records a fault unless s is a valid name: 1 to 63 ASCII letters, digits, dots, dashes and underscores.
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

// Unique records a fault if seen already contains value, and adds value to seen. The argument what completes "must be".
func Unique[T comparable](c *Checker, seen map[T]bool, field, what string, value T) {
	if seen[value] {
		c.Require(false, field, what, fmt.Sprintf("%v again", value))
	}
	seen[value] = true
}

// Address records a fault unless a has a unicast IP address without a scope, and a port other than 0.
func (c *Checker) Address(field string, a netip.AddrPort) {
	ip := a.Addr()
	// A scope refers to an interface of one machine, and an IPv4-mapped address is a second notation of an IPv4 address.
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

// shorten limits a value that is repeated in an error, because documents may come from any source.
func shorten(s string) string {
	const maxLength = 80
	if len(s) > maxLength {
		return strings.ToValidUTF8(s[:maxLength], "") + "..."
	}
	return s
}

package loadreport

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	// maxMessageBytes is the greatest size of an encoded message, so that its datagram with the kind has 1,400 bytes.
	maxMessageBytes = 1399
	// maxServers is the greatest number of servers in a message.
	maxServers = 128
	// maxNameBytes is the greatest length of the name of an entry VM.
	maxNameBytes = 64

	// Units of the fields of a Server, chosen so that usual values take one to three bytes.
	responseUnit = time.Millisecond
	ageUnit      = 100 * time.Millisecond
	countUnit    = 1.0 / 8

	// maxResponse is the greatest response time in responseUnit; callers give up earlier.
	maxResponse = 30_000
	// maxAge is the greatest age in ageUnit; receivers drop older entries.
	maxAge = uint8(retention / ageUnit)
)

// Message is the report of one entry VM.
type Message struct {
	// From is the name of the sender.
	From string `cbor:"1,keyasint"`
	// Session distinguishes the processes of a sender; a process that starts later has a greater one.
	Session uint64 `cbor:"2,keyasint"`
	// Sequence increases with each message of a session.
	Sequence uint64 `cbor:"3,keyasint"`
	// Servers are the observations in ascending order of their tokens.
	Servers []Server `cbor:"4,keyasint"`
	// Requests is the number of requests outstanding at all servers that the sender reports, also those that did not fit.
	Requests uint16 `cbor:"5,keyasint"`
}

// Server is what the sender observed of one server.
type Server struct {
	_ struct{} `cbor:",toarray"`
	// Token is the token of the server.
	Token uint32
	// ResponseTime is the mean over recent responses in milliseconds; 0 if Samples is 0.
	ResponseTime uint16
	// Samples is the number of responses behind ResponseTime in eighths, decayed up to the time of the last one.
	Samples uint8
	// Outstanding is the number of requests outstanding when the report was sent.
	Outstanding uint8
	// Failures is the number of failures in eighths, decayed like Samples.
	Failures uint8
	// Age is the time from the last response or failure to the sending of the report, in tenths of a second.
	Age uint8
}

var decoder = strictcbor.NewDecoder(maxServers, 4)

// Encode returns the CBOR form of m.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Trace(err)
}

// Decode returns the message in b, or an error if b is malformed or exceeds a limit.
func Decode(b []byte) (*Message, error) {
	if len(b) > maxMessageBytes {
		return nil, errors.Errorf("load report has %d bytes, more than the limit of %d bytes", len(b), maxMessageBytes)
	}
	m := &Message{}
	if err := decoder.Unmarshal(b, m); err != nil {
		return nil, errors.Trace(err)
	}
	if m.From == "" || len(m.From) > maxNameBytes {
		return nil, errors.Errorf("load report names a sender of %d bytes, want 1 to %d bytes", len(m.From), maxNameBytes)
	}
	if len(m.Servers) == 0 {
		return nil, errors.New("load report has no servers")
	}
	last := uint32(0) // Token 0 names no server.
	for i := range m.Servers {
		s := &m.Servers[i]
		if s.Token <= last {
			return nil, errors.Errorf("load report has token %d after %d, want ascending tokens", s.Token, last)
		}
		last = s.Token
		if s.ResponseTime > maxResponse || s.Age > maxAge || (s.ResponseTime == 0) != (s.Samples == 0) {
			return nil, errors.Errorf("load report has a response time of %d ms from %d eighths of a sample with age %d",
				s.ResponseTime, s.Samples, s.Age)
		}
	}
	return m, nil
}

// headerBytes returns the encoded size of m with n servers, without the servers.
func (m *Message) headerBytes(n int) int {
	const mapAndKeys = 1 + 5
	return mapAndKeys + uintBytes(uint64(len(m.From))) + len(m.From) + uintBytes(m.Session) + uintBytes(m.Sequence) +
		uintBytes(uint64(n)) + uintBytes(uint64(m.Requests))
}

// bytes returns the encoded size of s.
func (s *Server) bytes() int {
	return 1 + uintBytes(uint64(s.Token)) + uintBytes(uint64(s.ResponseTime)) + uintBytes(uint64(s.Samples)) +
		uintBytes(uint64(s.Outstanding)) + uintBytes(uint64(s.Failures)) + uintBytes(uint64(s.Age))
}

// uintBytes returns the encoded size of an unsigned integer, or of the length before a string or an array.
func uintBytes(v uint64) int {
	switch {
	case v < 24:
		return 1
	case v <= math.MaxUint8:
		return 2
	case v <= math.MaxUint16:
		return 3
	case v <= math.MaxUint32:
		return 5
	}
	return 9
}

package lookup

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/masticspar/masticspar/internal/registry"
)

const (
	// DefaultRetryDelay is the default time before an unresolved token is queried again.
	DefaultRetryDelay = 5 * time.Second
	// maxQueried is the maximum number of tokens whose query time is kept. Further tokens are not queried until
	// older ones expire.
	maxQueried = 1024
)

// Resolver queries other entry VMs for unknown tokens, each token once per RetryDelay. Query and Find must be set
// before use.
type Resolver struct {
	// Query is called to send a query to some other entry VMs. It must set From of the message.
	Query func(m *Message)
	// Find is called to get the record of a token at this entry VM. It returns false if the token is unknown.
	Find func(token uint32) (registry.Record, bool)
	// RetryDelay is the time before a token is queried again; 0 selects DefaultRetryDelay.
	RetryDelay time.Duration

	queriedAt map[uint32]time.Duration // by token
	pending   []uint32                 // tokens that the next Tick queries
}

// Resolve records that a packet has an unknown token. The next Tick queries the token, unless it was queried within the
// last RetryDelay or the limit of tokens is reached.
func (r *Resolver) Resolve(now time.Duration, token uint32) {
	if _, ok := r.queriedAt[token]; ok || len(r.queriedAt) >= maxQueried {
		return
	}
	if r.queriedAt == nil {
		r.queriedAt = map[uint32]time.Duration{}
	}
	r.queriedAt[token] = now
	r.pending = append(r.pending, token)
}

// Tick sends queries for the tokens that were recorded since the last call. It also allows the tokens whose RetryDelay
// has passed to be queried again.
func (r *Resolver) Tick(now time.Duration) {
	for len(r.pending) > 0 {
		n := min(len(r.pending), maxTokens)
		r.Query(&Message{Tokens: r.pending[:n]})
		r.pending = r.pending[n:]
	}
	r.pending = nil
	retryDelay := r.RetryDelay
	if retryDelay == 0 {
		retryDelay = DefaultRetryDelay
	}
	for token, at := range r.queriedAt {
		if now-at >= retryDelay {
			delete(r.queriedAt, token)
		}
	}
}

// Replies returns the replies to a query, each of which fits into a message; none if all of its tokens are unknown to
// this entry VM. The caller must set From of the replies.
func (r *Resolver) Replies(m *Message) []*Message {
	var replies []*Message
	free := 0 // bytes that are left in the last reply
	for _, token := range m.Tokens {
		record, ok := r.Find(token)
		if !ok {
			continue
		}
		b, err := cbor.Marshal(&record)
		if err != nil || len(b) > maxRecordBytes {
			continue // The reply would be refused.
		}
		if len(b) > free {
			replies, free = append(replies, &Message{}), maxRecordBytes
		}
		free -= len(b)
		last := replies[len(replies)-1]
		last.Servers = append(last.Servers, record)
	}
	return replies
}

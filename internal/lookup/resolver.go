package lookup

import (
	"time"

	"github.com/masticspar/masticspar/internal/registry"
)

const (
	// DefaultRetryDelay is the time after which a token that nobody knew is asked for again.
	DefaultRetryDelay = 5 * time.Second
	// maxRequested bounds the tokens that are remembered as asked for.
	maxRequested = 1024
)

// Resolver asks for unknown tokens, each once in a while; its exported fields are set before use.
type Resolver struct {
	// Query sends a question to some other entry VMs.
	Query func(m *Message)
	// Find returns what this entry VM knows of a token.
	Find func(token uint32) (registry.Record, bool)
	// RetryDelay is the time after which a token is asked for again; zero selects DefaultRetryDelay.
	RetryDelay time.Duration

	requestedAt map[uint32]time.Duration
	pending     []uint32
}

// Resolve takes note that a packet has an unknown token; the next Tick asks for it.
func (a *Resolver) Resolve(now time.Duration, token uint32) {
	if _, ok := a.requestedAt[token]; ok || len(a.requestedAt) >= maxRequested {
		return
	}
	if a.requestedAt == nil {
		a.requestedAt = map[uint32]time.Duration{}
	}
	a.requestedAt[token] = now
	a.pending = append(a.pending, token)
}

// Tick asks for the tokens that came since the last one.
func (a *Resolver) Tick(now time.Duration) {
	for len(a.pending) > 0 {
		n := min(len(a.pending), maxTokens)
		a.Query(&Message{Tokens: a.pending[:n]})
		a.pending = a.pending[n:]
	}
	a.pending = nil
	pause := a.RetryDelay
	if pause == 0 {
		pause = DefaultRetryDelay
	}
	for token, at := range a.requestedAt {
		if now-at >= pause {
			delete(a.requestedAt, token)
		}
	}
}

// Reply returns the answer to a question, or nil when this entry VM knows none of the tokens.
func (a *Resolver) Reply(m *Message) *Message {
	answer := &Message{}
	for _, token := range m.Tokens {
		if f, ok := a.Find(token); ok {
			answer.Servers = append(answer.Servers, f)
		}
	}
	if len(answer.Servers) == 0 {
		return nil
	}
	return answer
}

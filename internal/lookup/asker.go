package lookup

import (
	"time"

	"github.com/masticspar/masticspar/internal/registry"
)

const (
	// DefaultPause is the time after which a token that nobody knew is asked for again.
	DefaultPause = 5 * time.Second
	// maxAsked bounds the tokens that are remembered as asked for.
	maxAsked = 1024
)

// Asker asks for unknown tokens, each once in a while; its exported fields are set before use.
type Asker struct {
	// Ask sends a question to some other entry VMs.
	Ask func(m *Message)
	// Know returns what this entry VM knows of a token.
	Know func(token uint32) (registry.Former, bool)
	// Pause is the time after which a token is asked for again; zero selects DefaultPause.
	Pause time.Duration

	asked   map[uint32]time.Duration
	pending []uint32
}

// Missing takes note that a packet has an unknown token; the next Tick asks for it.
func (a *Asker) Missing(now time.Duration, token uint32) {
	if _, ok := a.asked[token]; ok || len(a.asked) >= maxAsked {
		return
	}
	if a.asked == nil {
		a.asked = map[uint32]time.Duration{}
	}
	a.asked[token] = now
	a.pending = append(a.pending, token)
}

// Tick asks for the tokens that came since the last one.
func (a *Asker) Tick(now time.Duration) {
	for len(a.pending) > 0 {
		n := min(len(a.pending), maxTokens)
		a.Ask(&Message{Tokens: a.pending[:n]})
		a.pending = a.pending[n:]
	}
	a.pending = nil
	pause := a.Pause
	if pause == 0 {
		pause = DefaultPause
	}
	for token, at := range a.asked {
		if now-at >= pause {
			delete(a.asked, token)
		}
	}
}

// Answer returns the answer to a question, or nil when this entry VM knows none of the tokens.
func (a *Asker) Answer(m *Message) *Message {
	answer := &Message{}
	for _, token := range m.Tokens {
		if f, ok := a.Know(token); ok {
			answer.Servers = append(answer.Servers, f)
		}
	}
	if len(answer.Servers) == 0 {
		return nil
	}
	return answer
}

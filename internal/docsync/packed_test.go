package docsync

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/fleet"
)

// Guards against large documents that are sent as published, which takes most of the control budget at the target.
func TestLargeDocumentIsServedPacked(t *testing.T) {
	is := is.New(t)
	names := "host"
	for i := range 400 {
		names += fmt.Sprintf(`","host-%05d`, i)
	}
	published := rulesOf(3, names)
	sender, receiver := &fleet.Picture{}, &fleet.Picture{}
	_, err := sender.Offer(fleet.Rules, "platform", published)
	is.NoErr(err)

	var answer Message
	from := &Spreader{Picture: sender, Send: func(_ string, m Message) { answer = m }}
	from.Start(0, 1)
	from.Handle(0, "receiver", Message{Request: &Request{Kind: fleet.Rules}})
	is.Equal(answer.Document.Bytes, nil)
	is.True(len(answer.Document.Packed) < len(published)/2)

	to := &Spreader{Picture: receiver, Send: func(string, Message) {}}
	to.Start(0, 2)
	to.Handle(0, "sender", answer)
	is.Equal(receiver.Versions(), sender.Versions())
	from.Handle(0, "receiver", Message{Request: &Request{Kind: fleet.Rules, After: 3}})
	is.True(answer.Document.Bytes == nil && answer.Document.Packed == nil) // Nothing newer than what was asked for.
}

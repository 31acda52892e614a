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
	sender, receiver := &fleet.Catalog{}, &fleet.Catalog{}
	_, err := sender.AcceptBytes(fleet.Rules, "platform", published)
	is.NoErr(err)

	var answer Message
	from := &Syncer{Catalog: sender, Send: func(_ string, m Message) { answer = m }}
	from.Start(0, 1)
	from.Handle(0, "receiver", Message{Request: &Request{Kind: fleet.Rules}})
	is.Equal(answer.Document.Bytes, nil)
	is.True(len(answer.Document.Compressed) < len(published)/2)

	to := &Syncer{Catalog: receiver, Send: func(string, Message) {}}
	to.Start(0, 2)
	to.Handle(0, "sender", answer)
	is.Equal(receiver.Versions(), sender.Versions())
	from.Handle(0, "receiver", Message{Request: &Request{Kind: fleet.Rules, After: 3}})
	is.True(answer.Document.Bytes == nil && answer.Document.Compressed == nil) // Nothing newer than what was asked for.
}

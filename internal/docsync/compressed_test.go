package docsync

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/fleet"
)

// Guards against large documents that are sent uncompressed, which takes most of the control budget at the target size.
func TestServesLargeDocumentCompressed(t *testing.T) {
	is := is.New(t)
	names := "host"
	for i := range 400 {
		names += fmt.Sprintf(`","host-%05d`, i)
	}
	published := rulesOf(3, names)
	sender, receiver := &fleet.Catalog{}, &fleet.Catalog{}
	_, err := sender.AcceptBytes(fleet.Rules, "platform", published)
	is.NoErr(err)

	var reply Message
	from := &Syncer{Catalog: sender, Send: func(_ string, m Message) { reply = m }}
	from.Start(0, 1)
	from.Handle(0, "receiver", Message{Request: &Request{Kind: fleet.Rules}})
	is.Equal(reply.Document.Bytes, nil)
	is.True(len(reply.Document.Compressed) < len(published)/2)

	to := &Syncer{Catalog: receiver, Send: func(string, Message) {}}
	to.Start(0, 2)
	to.Handle(0, "sender", reply)
	is.Equal(receiver.Versions(), sender.Versions())
	from.Handle(0, "receiver", Message{Request: &Request{Kind: fleet.Rules, After: 3}})
	is.True(reply.Document.Bytes == nil && reply.Document.Compressed == nil) // The sender has no newer version.
}

package main

import (
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/entry"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/peer"
)

// linkKinds maps each kind of message of the engine to the kind by which the link prioritizes messages when it must
// drop some.
var linkKinds = map[entry.Kind]peer.Kind{
	entry.KindMembership:    peer.Membership,
	entry.KindConfiguration: peer.Document,
	entry.KindReport:        peer.Report,
	entry.KindHint:          peer.Hint,
}

// engineKinds is the inverse of linkKinds.
var engineKinds = func() map[peer.Kind]entry.Kind {
	m := map[peer.Kind]entry.Kind{}
	for engine, link := range linkKinds {
		m[link] = engine
	}
	return m
}()

func (d *daemon) startLink() (func(), error) {
	var stop func()
	var err error
	d.link, stop, err = peer.New(peer.Config{
		Name: d.settings.Name, Listen: d.settings.ControlAddress,
		CAFile: d.settings.CAFile, CertificateFile: d.settings.CertificateFile, KeyFile: d.settings.KeyFile,
		Timer: d.timer, BytesPerSecond: d.settings.ControlBytesPerSecond,
		Counters: d.counters, Handle: d.receive,
	})
	return stop, err
}

// receive handles a message from a peer. The link has verified the name of the peer.
func (d *daemon) receive(message peer.Message) {
	m, err := entry.Decode(message.From, engineKinds[message.Kind], message.Body)
	if err != nil {
		d.counters.Add("messages-refused", 1)
		d.log.Warn("message-refused", zap.String("from", message.From), zap.Error(err))
		return
	}
	now := d.lockEngine()
	defer d.mu.Unlock()
	if d.engine.Send != nil {
		d.engine.HandleMessage(now, m)
	}
}

func (d *daemon) send(to member.Member, kind entry.Kind, body []byte) {
	d.link.Send(peer.Peer{Name: to.Name, Address: to.Control}, peer.Message{Kind: linkKinds[kind], Body: body})
}

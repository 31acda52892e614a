package main

import (
	"net/netip"

	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/entry"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/peer"
)

func (d *daemon) startLink() (func(), error) {
	var stop func()
	var err error
	d.link, stop, err = peer.New(peer.Config{
		Address: d.settings.ControlAddress,
		CAFile:  d.settings.CAFile, CertificateFile: d.settings.CertificateFile, KeyFile: d.settings.KeyFile,
		Counters: d.counters,
		Handle:   d.receive,
	})
	return stop, err
}

// receive handles a message of a peer whose name the link has verified.
func (d *daemon) receive(from string, message peer.Message) {
	m, err := entry.Decode(from, entry.Kind(message.Kind), message.Body)
	if err != nil {
		d.counters.Add("messages-refused", 1)
		d.log.Warn("message-refused", zap.String("from", from), zap.Error(err))
		return
	}
	now := d.enter()
	defer d.mu.Unlock()
	if d.engine.Send != nil {
		d.engine.Message(now, m)
	}
}

func (d *daemon) send(to member.Member, kind entry.Kind, body []byte) {
	if to.Control == (netip.AddrPort{}) {
		d.counters.Add("dropped-message-no-address", 1)
		return
	}
	d.link.Send(to.Control, peer.Message{Kind: uint8(kind), Body: body})
}

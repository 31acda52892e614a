package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"gopkg.in/tomb.v2"

	"github.com/masticspar/masticspar/internal/counter"
)

const (
	deadline     = 2 * time.Second
	idleTimeout  = 30 * time.Second
	queueLength  = 256
	messageLimit = 2 << 20 // bytes; a document of 1 MB and its envelope
	protocolName = "masticspar/1"
)

// Message is what entry VMs send to each other.
type Message struct {
	// Kind tells the receiver how to read the body.
	Kind uint8 `cbor:"1,keyasint"`
	// Body is the encoded message.
	Body []byte `cbor:"2,keyasint"`
}

// Config says where a Link listens and with which keys.
type Config struct {
	// Address is the control address.
	Address netip.AddrPort
	// CAFile, CertificateFile and KeyFile are PEM files.
	CAFile, CertificateFile, KeyFile string
	// Handle takes received messages; from is the name in the certificate of the sender.
	Handle func(from string, m Message)
	// Counters counts refusals, retries and drops by reason.
	Counters *counter.Set
}

// Link sends and receives messages.
type Link struct {
	config  Config
	tls     *tls.Config
	tomb    tomb.Tomb
	context context.Context // ends with the tomb

	mu     sync.Mutex
	queues map[netip.AddrPort]chan Message
}

// New listens at the address and returns the link and the function that stops it.
func New(c Config) (*Link, func(), error) {
	l := &Link{config: c, queues: map[netip.AddrPort]chan Message{}}
	l.context = l.tomb.Context(context.Background())
	if err := l.loadKeys(); err != nil {
		return nil, nil, err
	}
	listener, err := quic.ListenAddr(c.Address.String(), l.tls, quicConfig())
	if err != nil {
		return nil, nil, errors.Annotatef(err, "control-address %s", c.Address)
	}
	l.tomb.Go(func() error {
		for {
			connection, err := listener.Accept(l.context)
			if err != nil {
				return nil
			}
			l.tomb.Go(func() error { return l.receive(connection) })
		}
	})
	return l, func() {
		l.tomb.Kill(nil)
		_ = listener.Close()
		_ = l.tomb.Wait()
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{HandshakeIdleTimeout: deadline, MaxIdleTimeout: idleTimeout, MaxIncomingUniStreams: 1024}
}

func (l *Link) loadKeys() error {
	pem, err := os.ReadFile(l.config.CAFile)
	if err != nil {
		return errors.Annotate(err, "ca-file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.NotValidf("ca-file %s", l.config.CAFile)
	}
	pair, err := tls.LoadX509KeyPair(l.config.CertificateFile, l.config.KeyFile)
	if err != nil {
		return errors.Annotate(err, "certificate-file and key-file")
	}
	l.tls = &tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocolName},
		// The name is not known before the handshake, so only the chain is verified.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection below verifies the chain.
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
			})
			return err
		},
	}
	return nil
}

// Send queues a message for the member at the control address.
func (l *Link) Send(to netip.AddrPort, m Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queues[to]
	if q == nil {
		q = make(chan Message, queueLength)
		l.queues[to] = q
		l.tomb.Go(func() error { return l.transmit(to, q) })
	}
	select {
	case q <- m:
	default:
		l.config.Counters.Add("dropped-peer-queue", 1)
	}
}

// transmit sends the queue of one peer and dials from a new port after each failure.
func (l *Link) transmit(to netip.AddrPort, q chan Message) error {
	var connection *quic.Conn
	for {
		select {
		case <-l.tomb.Dying():
			if connection != nil {
				_ = connection.CloseWithError(0, "stopped")
			}
			return nil
		case m := <-q:
			if connection == nil {
				connection = l.dial(to)
			}
			if connection == nil || l.write(connection, m) != nil {
				l.config.Counters.Add("retry-peer-dial", 1)
				if connection != nil {
					_ = connection.CloseWithError(0, "failed")
				}
				connection = nil
			}
		}
	}
}

func (l *Link) dial(to netip.AddrPort) *quic.Conn {
	ctx, cancel := context.WithTimeout(l.context, deadline)
	defer cancel()
	connection, err := quic.DialAddr(ctx, to.String(), l.tls, quicConfig())
	if err != nil {
		return nil
	}
	return connection
}

func (l *Link) write(connection *quic.Conn, m Message) error {
	ctx, cancel := context.WithTimeout(l.context, deadline)
	defer cancel()
	stream, err := connection.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	if err := stream.SetWriteDeadline(time.Now().Add(deadline)); err != nil {
		return err
	}
	if _, err := stream.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)); err != nil {
		return err
	}
	return stream.Close()
}

func (l *Link) receive(connection *quic.Conn) error {
	from := connection.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName
	for {
		stream, err := connection.AcceptUniStream(l.context)
		if err != nil {
			return nil
		}
		l.tomb.Go(func() error {
			m, err := read(stream)
			if err != nil {
				l.config.Counters.Add("messages-refused", 1)
				return nil
			}
			l.config.Handle(from, m)
			return nil
		})
	}
}

func read(stream *quic.ReceiveStream) (Message, error) {
	var m Message
	if err := stream.SetReadDeadline(time.Now().Add(deadline)); err != nil {
		return m, err
	}
	b, err := io.ReadAll(io.LimitReader(stream, messageLimit))
	if err != nil {
		return m, err
	}
	if len(b) < 4 {
		return m, net.ErrClosed
	}
	return m, cbor.Unmarshal(b[4:], &m)
}

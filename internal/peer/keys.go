package peer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"

	"github.com/juju/errors"
)

// protocol is the application protocol (ALPN) of the TLS handshake.
const protocol = "masticspar/1"

// keys are the parsed key files of a process; they are immutable.
type keys struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	raw         []byte // Contents of the files, to detect a change.
}

// loadKeys reads and parses the files; it returns current if their contents are unchanged.
func loadKeys(c Config, current *keys) (*keys, error) {
	var files [3][]byte
	// Errors name the settings of the daemon, which an operator has to correct.
	for i, file := range []struct{ setting, path string }{
		{"ca-file", c.CAFile}, {"certificate-file", c.CertificateFile}, {"key-file", c.KeyFile},
	} {
		data, err := os.ReadFile(file.path)
		if err != nil {
			return nil, errors.Annotate(err, file.setting)
		}
		files[i] = data
	}
	raw := bytes.Join(files[:], []byte{0})
	if current != nil && bytes.Equal(raw, current.raw) {
		return current, nil
	}
	k := &keys{roots: x509.NewCertPool(), raw: raw}
	if !k.roots.AppendCertsFromPEM(files[0]) {
		return nil, errors.Errorf("ca-file: %s contains no certificate", c.CAFile)
	}
	var err error
	if k.certificate, err = tls.X509KeyPair(files[1], files[2]); err != nil {
		return nil, errors.Annotatef(err, "certificate-file %s and key-file %s", c.CertificateFile, c.KeyFile)
	}
	if !slices.Contains(k.certificate.Leaf.DNSNames, c.Name) {
		return nil, errors.Errorf("certificate-file: certificate in %s is not valid for member %q", c.CertificateFile, c.Name)
	}
	return k, nil
}

// tlsConfig returns the TLS configuration for a handshake with the named member, or with any member if name is empty.
func (l *Link) tlsConfig(k *keys, name string, usage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{k.certificate},
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		// The larger post-quantum key share would make each first flight two packets instead of one.
		CurvePreferences: []tls.CurveID{tls.X25519},
		// A resumed session would accept a certificate after its CA was replaced.
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		// Method verify checks the chain and the name on both sides; for a contact only the address is given, so the
		// standard check of the name is not possible.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return l.verify(k, state, name, usage)
		},
	}
}

// verify checks the certificate chain of the peer and, unless name is empty, that the certificate is for this name.
func (l *Link) verify(k *keys, state tls.ConnectionState, name string, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		l.Counters.Add("peer-refused-certificate", 1)
		return errors.New("peer sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots: k.roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		l.Counters.Add("peer-refused-certificate", 1)
		return errors.Trace(err)
	}
	if got := certifiedName(state); got == "" || name != "" && got != name {
		l.Counters.Add("peer-refused-name", 1)
		return errors.Errorf("peer certificate is for member %q, want %q", got, name)
	}
	return nil
}

// certifiedName returns the only DNS name of the peer's certificate, which is the member name, or "" if there is none
// or more than one.
func certifiedName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) != 1 {
		return ""
	}
	return state.PeerCertificates[0].DNSNames[0]
}

package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
)

const validity = 24 * time.Hour // longer than any run of a stand-in site

// Authority is a CA whose files are in a directory.
type Authority struct {
	// Directory receives ca.pem and NAME.pem and NAME.key for each issued certificate.
	Directory string

	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

// New creates a CA and writes its certificate to ca.pem in the directory.
func New(directory string) (*Authority, error) {
	a := &Authority{Directory: directory, serial: 1}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	a.key = key
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "masticspar stand-in CA"},
		NotBefore: time.Now().Add(-time.Minute), NotAfter: time.Now().Add(validity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, errors.Trace(err)
	}
	return a, a.write("ca.pem", "CERTIFICATE", der)
}

// Issue writes a certificate and key for the name.
func (a *Authority) Issue(name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Trace(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Minute), NotAfter: time.Now().Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return errors.Trace(err)
	}
	if err := a.write(name+".pem", "CERTIFICATE", der); err != nil {
		return err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Trace(err)
	}
	return a.write(name+".key", "PRIVATE KEY", private)
}

func (a *Authority) write(file, kind string, der []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Trace(os.WriteFile(filepath.Join(a.Directory, file), b, 0o600))
}

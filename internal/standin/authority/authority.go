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

// Authority is a CA whose key is kept in memory.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Files holds the paths of the PEM files that a member is configured with.
type Files struct {
	CA, Certificate, Key string
}

// New returns a CA with a new key.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "masticspar stand-in CA"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	a := &Authority{certificate: template, key: key}
	data, err := a.sign(template, &key.PublicKey)
	if err != nil {
		return nil, errors.Trace(err)
	}
	a.certificate, err = x509.ParseCertificate(data)
	return a, errors.Trace(err)
}

// Write writes the certificate of the CA and a new certificate and key for each name into dir.
func (a *Authority) Write(dir string, names ...string) error {
	if err := write(PathsIn(dir, "").CA, "CERTIFICATE", a.certificate.Raw); err != nil {
		return errors.Trace(err)
	}
	for _, name := range names {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return errors.Trace(err)
		}
		data, err := a.sign(&x509.Certificate{
			Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, KeyUsage: x509.KeyUsageDigitalSignature,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}, &key.PublicKey)
		if err != nil {
			return errors.Trace(err)
		}
		secret, err := x509.MarshalPKCS8PrivateKey(key)
		if err != nil {
			return errors.Trace(err)
		}
		files := PathsIn(dir, name)
		if err := write(files.Certificate, "CERTIFICATE", data); err != nil {
			return errors.Trace(err)
		}
		if err := write(files.Key, "PRIVATE KEY", secret); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// PathsIn returns the paths of the files that Write creates in dir for a name.
func PathsIn(dir, name string) Files {
	return Files{
		CA:          filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+".key"),
	}
}

func (a *Authority) sign(template *x509.Certificate, key *ecdsa.PublicKey) ([]byte, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, errors.Trace(err)
	}
	template.SerialNumber = serial
	template.NotBefore = time.Now().Add(-time.Hour) // allows for clock differences between VMs
	template.NotAfter = time.Now().Add(10 * 365 * 24 * time.Hour)
	data, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key, a.key)
	return data, errors.Trace(err)
}

// write replaces the file atomically, because a daemon may read it at any time.
func write(path, kind string, data []byte) error {
	next := path + ".new"
	if err := os.WriteFile(next, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(next, path))
}

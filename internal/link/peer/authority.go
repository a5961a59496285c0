package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// Authority is a certificate authority for VMs and operators. It is meant for development
// and small installations; any authority that issues certificates with the same URIs works
// as well.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// clockSkew is how far NotBefore lies in the past, so that a new certificate is valid at
// once on a VM whose clock is behind.
const clockSkew = 5 * time.Minute

const serialBits = 120

// NewAuthority creates an authority with a new key and a self-signed certificate that is
// valid for the given time.
func NewAuthority(validity time.Duration) (*Authority, error) {
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("pearmoor authority", validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "peer: sign the authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, err
}

// LoadAuthority reads an authority written by Save.
func LoadAuthority(certFile, keyFile string) (*Authority, error) {
	certDER, err := readPEM(certFile, pemCertificate)
	if err != nil {
		return nil, err
	}
	keyDER, err := readPEM(keyFile, pemKey)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: %s", certFile)
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: %s", keyFile)
	}
	if !key.PublicKey.Equal(cert.PublicKey) {
		return nil, errors.Newf("peer: %s is not the key of %s", keyFile, certFile)
	}
	return &Authority{cert: cert, key: key}, nil
}

// Save writes the authority's certificate and key.
func (a *Authority) Save(certFile, keyFile string) error {
	return writeCertAndKey(certFile, keyFile, a.cert.Raw, a.key)
}

// Issue writes a certificate and key for id. Hosts are the IP addresses or DNS names under
// which a VM is dialed; an operator needs none.
func (a *Authority) Issue(id Identity, hosts []string, validity time.Duration, certFile, keyFile string) error {
	if _, err := parseURI(id.URI()); err != nil {
		return err
	}
	template, err := newTemplate(id.Name, validity)
	if err != nil {
		return err
	}
	if template.NotAfter.After(a.cert.NotAfter) {
		template.NotAfter = a.cert.NotAfter
	}
	template.URIs = []*url.URL{id.URI()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if id.Kind == VM {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
		addHosts(template, hosts)
	}
	key, err := newKey()
	if err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return errors.Wrap(err, "peer: sign the certificate")
	}
	return writeCertAndKey(certFile, keyFile, der, key)
}

func addHosts(template *x509.Certificate, hosts []string) {
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, host)
		}
	}
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errors.Wrap(err, "peer: generate a key")
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "peer: generate a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "EC PRIVATE KEY"

	certMode = 0o644
	keyMode  = 0o600
)

func writeCertAndKey(certFile, keyFile string, certDER []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "peer: encode the key")
	}
	if err := replacePEM(keyFile, pemKey, keyDER, keyMode); err != nil {
		return err
	}
	return replacePEM(certFile, pemCertificate, certDER, certMode)
}

// replacePEM writes a temporary file and renames it into place, so that a daemon that
// reloads never reads a partial file.
func replacePEM(name, kind string, der []byte, mode os.FileMode) error {
	tmp, err := os.CreateTemp(filepath.Dir(name), ".pem-*")
	if err != nil {
		return errors.Wrap(err, "peer: write a PEM file")
	}
	defer os.Remove(tmp.Name())
	err = pem.Encode(tmp, &pem.Block{Type: kind, Bytes: der})
	err = errors.CombineErrors(err, tmp.Chmod(mode))
	err = errors.CombineErrors(err, tmp.Close())
	if err != nil {
		return errors.Wrapf(err, "peer: write %s", name)
	}
	return errors.Wrap(os.Rename(tmp.Name(), name), "peer: replace a PEM file")
}

func readPEM(name, kind string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "peer: read a PEM file")
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != kind {
		return nil, errors.Newf("peer: %s holds no PEM block of type %s", name, kind)
	}
	return block.Bytes, nil
}

package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

// Files are the names of the PEM files of an authority, a certificate and its key.
type Files struct{ CA, Cert, Key string }

// Load reads the files and returns a Reloader that reads them again when they change.
func (f Files) Load() (*Reloader, error) {
	r := &Reloader{files: f}
	loaded, err := f.read()
	if err != nil {
		return nil, err
	}
	r.states = f.states()
	r.setCurrent(loaded)
	return r, nil
}

type credentials struct {
	cert     tls.Certificate
	roots    *x509.CertPool
	identity Identity
}

func (f Files) read() (*credentials, error) {
	ca, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "peer: read the authority certificate")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, errors.Newf("peer: %s holds no PEM certificate", f.CA)
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: load %s with %s", f.Cert, f.Key)
	}
	id, err := identityFromCert(cert.Leaf)
	if err != nil {
		return nil, err
	}
	return &credentials{cert: cert, roots: roots, identity: id}, nil
}

// fileState identifies the content of a file. A replaced file has a new inode even if its
// size and modification time are the same.
type fileState struct {
	info os.FileInfo
	err  bool
}

func (s fileState) equal(o fileState) bool {
	if s.err || o.err {
		return s.err == o.err
	}
	return os.SameFile(s.info, o.info) && s.info.Size() == o.info.Size() && s.info.ModTime().Equal(o.info.ModTime())
}

type fileStates [3]fileState

func (f Files) states() fileStates {
	var out fileStates
	for i, name := range []string{f.CA, f.Cert, f.Key} {
		info, err := os.Stat(name)
		out[i] = fileState{info: info, err: err != nil}
	}
	return out
}

func (s fileStates) equal(o fileStates) bool {
	for i := range s {
		if !s[i].equal(o[i]) {
			return false
		}
	}
	return true
}

// Reloader provides TLS configurations from files. Each handshake checks whether the files
// have changed, and uses the new ones if they can be read. If they cannot, for example
// because only some have been replaced, it logs this once and keeps using the previous
// ones.
type Reloader struct {
	files Files

	mu      sync.Mutex
	states  fileStates
	current *credentials
}

// Identity returns the identity in the certificate now in use.
func (r *Reloader) Identity() Identity { return r.get().identity }

func (r *Reloader) get() *credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := r.files.states()
	if states.equal(r.states) {
		return r.current
	}
	r.states = states
	loaded, err := r.files.read()
	if err != nil {
		klog.Errorf("peer: changed certificate files are unusable, keeping the former ones: %v", err)
		return r.current
	}
	klog.Infof("peer: certificate files reloaded, now %s %q until %s",
		loaded.identity.Kind, loaded.identity.Name, loaded.cert.Leaf.NotAfter.Format(time.RFC3339))
	r.setCurrent(loaded)
	return r.current
}

func (r *Reloader) setCurrent(m *credentials) {
	r.current = m
	certNotAfter.Update(m.cert.Leaf.NotAfter.Unix())
}

var certNotAfter = metrics.GetOrRegisterGauge("peer.certificate.not_after", metrics.DefaultRegistry)

// ServerConfig returns a configuration that requires a certificate of the authority from
// every client.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := r.get()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.cert},
				ClientCAs:    m.roots,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				// A resumed session would skip the check against an authority that has
				// been replaced since.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns a configuration for dialing VMs. The pool that uses it
// also checks that the certificate is valid for the address dialed.
func (r *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.get().cert, nil
		},
		// crypto/tls reads RootCAs once, so a replaced authority would need a restart.
		// VerifyConnection does the whole verification against the current one.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyServer(state, r.get().roots)
		},
	}
}

func verifyServer(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer: no certificate from the server")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	opts := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return errors.Wrap(err, "peer: server certificate")
	}
	id, err := identityFromCert(state.PeerCertificates[0])
	if err != nil {
		return err
	}
	if id.Kind != VM {
		return errors.Newf("peer: the server's certificate is %s %q; a VM's certificate is required", id.Kind, id.Name)
	}
	return nil
}

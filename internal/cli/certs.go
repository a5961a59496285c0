package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/peer"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	certValidity      = 90 * 24 * time.Hour

	authorityCertFile = "ca.pem"
	authorityKeyFile  = "ca.key"

	dirMode = 0o700
)

// certificateFiles is the output of the certs commands: the paths of the files
// that were written.
type certificateFiles struct {
	CA   string `json:"ca"`
	Cert string `json:"cert"`
	Key  string `json:"key"`
	URI  string `json:"uri,omitempty"` // identity of the VM or operator; empty for the authority
}

func (a *app) declareCerts(k *kingpin.Application) {
	parent := k.Command("certs", "Make a development authority, and certificates for VMs and operators.")
	var dir string
	parent.Flag("dir", "Folder of the authority and the certificates.").Default("certs").StringVar(&dir)
	var validity time.Duration
	parent.Flag("valid", "How long a new certificate is valid.").Default(certValidity.String()).DurationVar(&validity)

	c := parent.Command("init", `Make an authority. One that is there already is kept.

Example: pearmoor certs --dir=certs init`)
	c.Action(func(*kingpin.ParseContext) error { return a.initAuthority(dir) })

	var name string
	var hosts []string
	c = parent.Command("vm", `Make a certificate for a daemon. Run it again to renew: daemons read changed files by themselves.

Example: pearmoor certs --dir=certs vm entry-1 --host=10.0.0.5`)
	c.Arg("name", "The VM's name, as in its --name.").Required().StringVar(&name)
	c.Flag("host", "IP numbers or names under which others reach the VM, separated by commas.").Required().SetValue((*commaList)(&hosts))
	c.Action(func(*kingpin.ParseContext) error {
		return a.issueCertificate(dir, peer.Identity{Name: name, Kind: peer.VM}, hosts, validity)
	})

	var operator string
	c = parent.Command("operator", `Make a certificate for an operator. Its name goes into the audit trail.

Example: pearmoor certs --dir=certs operator asha`)
	c.Arg("name", "The operator's name.").Required().StringVar(&operator)
	c.Action(func(*kingpin.ParseContext) error {
		return a.issueCertificate(dir, peer.Identity{Name: operator, Kind: peer.Operator}, nil, validity)
	})
}

func (a *app) initAuthority(dir string) error {
	out := &certificateFiles{CA: filepath.Join(dir, authorityCertFile), Cert: filepath.Join(dir, authorityCertFile), Key: filepath.Join(dir, authorityKeyFile)}
	// An existing authority is never overwritten: every certificate that it issued
	// would be rejected at the next handshake.
	for _, name := range []string{out.CA, out.Key} {
		if _, err := os.Stat(name); err == nil {
			return exitErrorf(ExitFailed, "%s already exists; remove it to create a new authority", name)
		}
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "create the directory")
	}
	authority, err := peer.NewAuthority(authorityValidity)
	if err != nil {
		return err
	}
	if err := authority.Save(out.CA, out.Key); err != nil {
		return err
	}
	return a.print(out)
}

func (a *app) issueCertificate(dir string, id peer.Identity, hosts []string, validity time.Duration) error {
	authority, err := peer.LoadAuthority(filepath.Join(dir, authorityCertFile), filepath.Join(dir, authorityKeyFile))
	if err != nil {
		return errors.Wrap(err, "load the authority; create it with 'pearmoor certs init' first")
	}
	base := filepath.Join(dir, id.Kind.String()+"-"+id.Name)
	out := &certificateFiles{CA: filepath.Join(dir, authorityCertFile), Cert: base + ".pem", Key: base + ".key", URI: id.URI().String()}
	if err := authority.Issue(id, hosts, validity, out.Cert, out.Key); err != nil {
		return err
	}
	return a.print(out)
}

func (f *certificateFiles) writeText(w io.Writer) {
	if f.URI != "" {
		fmt.Fprintf(w, "issued to %s\n", f.URI)
	}
	fmt.Fprintf(w, "authority %s\ncertificate %s\nkey %s\n", f.CA, f.Cert, f.Key)
}

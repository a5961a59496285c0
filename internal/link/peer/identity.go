package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmetadata"
)

// Kind says what a certificate was issued to.
type Kind uint8

// The kinds of certificate holders. The zero value is no kind at all, so that a
// forgotten kind opens nothing.
const (
	VM       Kind = iota + 1 // a daemon on a VM
	Operator                 // a person or a pipeline that edits the tree
)

// The URI of a certificate is SPIFFE-like: pearmoor://vm/NAME or pearmoor://operator/NAME.
const uriScheme = "pearmoor"

var kindNames = map[Kind]string{VM: "vm", Operator: "operator"}

// String returns the kind as written in certificates: vm or operator.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}

// Identity is the holder of a certificate. Verified is false for a name that
// was only stated, which happens on plain-text loopback connections alone.
type Identity struct {
	Name     string
	Kind     Kind
	Verified bool
}

// URI returns the identity as the URI that its certificate carries.
func (id Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: id.Kind.String(), Path: "/" + id.Name}
}

// identityOf reads the identity from the one pearmoor URI of a verified certificate.
func identityOf(cert *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range cert.URIs {
		if u.Scheme != uriScheme {
			continue
		}
		id, err := parseURI(u)
		if err != nil {
			return Identity{}, err
		}
		found = append(found, id)
	}
	if len(found) != 1 {
		return Identity{}, errors.Newf("peer: certificate %q has %d pearmoor:// URIs; issue it with exactly one", cert.Subject.CommonName, len(found))
	}
	return found[0], nil
}

func parseURI(u *url.URL) (Identity, error) {
	name := strings.TrimPrefix(u.Path, "/")
	if name == "" || strings.Contains(name, "/") {
		return Identity{}, errors.Newf("peer: certificate URI %q names nobody; use pearmoor://vm/NAME or pearmoor://operator/NAME", u)
	}
	for kind, kindName := range kindNames {
		if u.Host == kindName {
			return Identity{Name: name, Kind: kind, Verified: true}, nil
		}
	}
	return Identity{}, errors.Newf("peer: certificate URI %q is of no known kind; use pearmoor://vm/NAME or pearmoor://operator/NAME", u)
}

type identityKey struct{}

// FromContext returns who made the call that a server handler is answering, and
// false if the caller did not say.
func FromContext(ctx context.Context) (Identity, bool) {
	if id, ok := ctx.Value(identityKey{}).(Identity); ok {
		return id, true
	}
	return Identity{}, false
}

// statedOperator is the metadata key of an operator's name on plain text.
const statedOperator = "pearmoor-operator"

// WithOperator states the operator's name on calls made with the returned
// context. Only servers without TLS heed it: a certificate always wins.
func WithOperator(ctx context.Context, name string) context.Context {
	return drpcmetadata.Add(ctx, statedOperator, name)
}

func statedIdentity(ctx context.Context) (Identity, bool) {
	md, _ := drpcmetadata.Get(ctx)
	name := md[statedOperator]
	if name == "" {
		return Identity{}, false
	}
	return Identity{Name: name, Kind: Operator}, true
}

func identityOfState(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("peer: the other side showed no certificate")
	}
	return identityOf(state.PeerCertificates[0])
}

// CheckSender returns an error if the certificate behind a call names another VM
// than the one the call says it is from. Without it, any VM's certificate could
// keep another VM's lease alive, or end it with a newer incarnation. On plain
// text nobody can be checked.
func CheckSender(ctx context.Context, name string) error {
	id, ok := FromContext(ctx)
	if !ok || !id.Verified || id.Name == name {
		return nil
	}
	return Permanent(errors.Newf("peer: the call says it is from %q; its certificate is of %s %q", name, id.Kind, id.Name))
}

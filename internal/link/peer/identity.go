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

// Kind is the kind of a certificate holder.
type Kind uint8

// The kinds of certificate holders. The zero value is no valid kind, so a kind that was
// not set grants no access.
const (
	VM       Kind = iota + 1 // a daemon on a VM
	Operator                 // a person or a pipeline that edits the settings tree
)

// uriScheme is the scheme of the URI in a certificate, which is SPIFFE-like:
// pearmoor://vm/NAME or pearmoor://operator/NAME.
const uriScheme = "pearmoor"

var kindNames = map[Kind]string{VM: "vm", Operator: "operator"}

// String returns the kind as written in certificates: vm or operator.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}

// Identity is the holder of a certificate. Verified is false for a name that was only
// claimed in call metadata, which is accepted on plain-text connections only.
type Identity struct {
	Name     string
	Kind     Kind
	Verified bool
}

// URI returns the identity as the URI that its certificate carries.
func (id Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: id.Kind.String(), Path: "/" + id.Name}
}

// identityFromCert returns the identity in the only pearmoor URI of a verified
// certificate.
func identityFromCert(cert *x509.Certificate) (Identity, error) {
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
		return Identity{}, errors.Newf("peer: certificate URI %q has no valid name; use pearmoor://vm/NAME or pearmoor://operator/NAME", u)
	}
	for kind, kindName := range kindNames {
		if u.Host == kindName {
			return Identity{Name: name, Kind: kind, Verified: true}, nil
		}
	}
	return Identity{}, errors.Newf("peer: certificate URI %q has an unknown kind; use pearmoor://vm/NAME or pearmoor://operator/NAME", u)
}

type identityKey struct{}

// FromContext returns the identity of the caller whose call a server handler is answering,
// and false if the caller gave none.
func FromContext(ctx context.Context) (Identity, bool) {
	if id, ok := ctx.Value(identityKey{}).(Identity); ok {
		return id, true
	}
	return Identity{}, false
}

// operatorMetadataKey is the metadata key of an operator's name on plain-text connections.
const operatorMetadataKey = "pearmoor-operator"

// WithOperator adds the operator's name to calls made with the returned context. Servers
// with TLS ignore it and use the certificate.
func WithOperator(ctx context.Context, name string) context.Context {
	return drpcmetadata.Add(ctx, operatorMetadataKey, name)
}

func identityFromMetadata(ctx context.Context) (Identity, bool) {
	md, _ := drpcmetadata.Get(ctx)
	name := md[operatorMetadataKey]
	if name == "" {
		return Identity{}, false
	}
	return Identity{Name: name, Kind: Operator}, true
}

func identityFromState(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("peer: no certificate from the other side")
	}
	return identityFromCert(state.PeerCertificates[0])
}

// CheckSender returns an error if the certificate of a call names another VM than the one
// that the call claims to be from. Without it, any VM's certificate could renew another
// VM's lease, or end it with a newer incarnation. On plain-text connections there is
// nothing to check against.
func CheckSender(ctx context.Context, name string) error {
	id, ok := FromContext(ctx)
	if !ok || !id.Verified || id.Name == name {
		return nil
	}
	return Permanent(errors.Newf("peer: the call says it is from %q; its certificate is of %s %q", name, id.Kind, id.Name))
}

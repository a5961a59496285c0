package peer

import (
	"strings"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"
)

// serviceKinds maps each drpc service to the kind of certificate that may call it. Calls
// to a service that is not listed are refused.
var serviceKinds = map[string]Kind{
	"/pearmoor.wire.Control/":    Operator,
	"/pearmoor.wire.Spread/":     VM,
	"/pearmoor.wire.Quorum/":     VM,
	"/pearmoor.wire.Quarantine/": VM,
	"/pearmoor.wire.Home/":       VM,
}

// authorize refuses a call if the service is not open to the identity's kind. Without it
// the certificate of any entry VM could edit the settings tree, and an operator's
// certificate could vote in the control group.
func authorize(rpc string, id Identity) error {
	service := rpc[:strings.LastIndexByte(rpc, '/')+1]
	want, known := serviceKinds[service]
	if !known {
		return drpcerr.WithCode(errors.Newf("peer: unknown call %q", rpc), codeDenied)
	}
	if id.Kind != want {
		err := errors.Newf("peer: %s is open to a certificate of kind %s; %q is of kind %s", rpc, want, id.Name, id.Kind)
		return drpcerr.WithCode(err, codeDenied)
	}
	return nil
}

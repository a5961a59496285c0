package peer

import (
	"strings"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"
)

// rpcKinds says which kind of certificate each drpc service is open to. A
// service that is not listed is closed to everybody.
var rpcKinds = map[string]Kind{
	"/pearmoor.wire.Control/":    Operator,
	"/pearmoor.wire.Spread/":     VM,
	"/pearmoor.wire.Quorum/":     VM,
	"/pearmoor.wire.Quarantine/": VM,
	"/pearmoor.wire.Home/":       VM,
}

// authorize refuses a call that is not open to the identity's kind. Without it
// a certificate taken from any entry VM could edit the settings tree, and an
// operator's could vote.
func authorize(rpc string, id Identity) error {
	service := rpc[:strings.LastIndexByte(rpc, '/')+1]
	want, known := rpcKinds[service]
	if !known {
		return drpcerr.WithCode(errors.Newf("peer: unknown call %q", rpc), codeDenied)
	}
	if id.Kind != want {
		err := errors.Newf("peer: %s is open to a certificate of kind %s; %q is of kind %s", rpc, want, id.Name, id.Kind)
		return drpcerr.WithCode(err, codeDenied)
	}
	return nil
}

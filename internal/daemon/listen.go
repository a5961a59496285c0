package daemon

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// listeners are the daemon's bound ports; caller is nil on a VM set aside for control.
type listeners struct {
	caller, peer, operator net.Listener
}

func (c *Config) listen() (_ listeners, err error) {
	var l listeners
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	if l.peer, err = net.Listen("tcp", c.PeerListen); err != nil {
		return l, errors.Wrap(err, "--peer-listen")
	}
	if l.operator, err = net.Listen("tcp", c.OperatorListen); err != nil {
		return l, errors.Wrap(err, "--operator-listen")
	}
	if !c.Entry {
		return l, nil
	}
	if l.caller, err = net.Listen("tcp", c.CallerListen); err != nil {
		return l, errors.Wrap(err, "--caller-listen")
	}
	return l, nil
}

func (l listeners) close() {
	for _, lis := range []net.Listener{l.caller, l.peer, l.operator} {
		if lis != nil {
			lis.Close()
		}
	}
}

// peerAddr is the address told to other daemons.
func (c *Config) peerAddr(l listeners) string {
	if c.PeerAddr != "" {
		return c.PeerAddr
	}
	return l.peer.Addr().String()
}

// callerURL is the base URL told to callers, empty without an entry.
func (c *Config) callerURL(l listeners) string {
	switch {
	case l.caller == nil:
		return ""
	case c.CallerURL != "":
		return c.CallerURL
	case c.CallerCert != "":
		return "https://" + l.caller.Addr().String()
	default:
		return "http://" + l.caller.Addr().String()
	}
}

// Ready is what --ready-file holds.
type Ready struct {
	Name      string `json:"name"`
	CallerURL string `json:"caller_url,omitempty"`
	Peer      string `json:"peer"`
	Operator  string `json:"operator"`
}

// writeReady writes the file whole: a script that polls for it must never read
// half of it, so it is written beside and then renamed.
func (c *Config) writeReady(l listeners) error {
	if c.ReadyFile == "" {
		return nil
	}
	body, err := json.Marshal(Ready{
		Name:      c.Name,
		CallerURL: c.callerURL(l),
		Peer:      c.peerAddr(l),
		Operator:  l.operator.Addr().String(),
	})
	if err != nil {
		return errors.Wrap(err, "ready file")
	}
	tmp := filepath.Join(filepath.Dir(c.ReadyFile), "."+filepath.Base(c.ReadyFile)+".tmp")
	if err := os.WriteFile(tmp, body, 0o644); err != nil {
		return errors.Wrap(err, "--ready-file")
	}
	return errors.Wrap(os.Rename(tmp, c.ReadyFile), "--ready-file")
}

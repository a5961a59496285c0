package daemon

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// listeners holds the daemon's bound ports. caller is nil on a dedicated control VM.
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
	if !c.ServeCallers {
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

// peerAddr returns the address advertised to other daemons.
func (c *Config) peerAddr(l listeners) string {
	if c.PeerAddr != "" {
		return c.PeerAddr
	}
	return l.peer.Addr().String()
}

// callerURL returns the base URL advertised to callers, or an empty string if the
// daemon does not serve callers.
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

// ReadyInfo is the content of the --ready-file.
type ReadyInfo struct {
	Name      string `json:"name"`
	CallerURL string `json:"caller_url,omitempty"`
	Peer      string `json:"peer"`
	Operator  string `json:"operator"`
}

// writeReadyFile writes the ready file atomically, by renaming a temporary file, so
// that a script that polls for it never reads a partial file.
func (c *Config) writeReadyFile(l listeners) error {
	if c.ReadyFile == "" {
		return nil
	}
	body, err := json.Marshal(ReadyInfo{
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

package session

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

const (
	nonceBytes      = 12
	sealKeyBytes    = 32
	maxSessionBytes = 512
)

// Token is a parsed session. Only Issuer.Verify proves that it is genuine.
type Token struct {
	Owner       string // VM name
	Incarnation uint64
	Issued      vm.Instant // on the owner's clock
	Lifetime    time.Duration
	Window      time.Duration // after the end, in which a resend finds its first outcome
	Nonce       string
	seal        []byte
}

// Ends returns when the session takes no new keys, on the owner's clock.
func (t *Token) Ends() vm.Instant { return t.Issued.Add(t.Lifetime) }

// Parse reads a session as text. It doesn't check the seal.
func Parse(text string) (*Token, error) {
	if len(text) > maxSessionBytes {
		return nil, errors.Newf("longer than %d bytes", maxSessionBytes)
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.New("not a session of this system")
	}
	var msg wire.SessionToken
	if err := proto.Unmarshal(raw, &msg); err != nil {
		return nil, errors.New("not a session of this system")
	}
	if msg.Owner == "" || len(msg.Nonce) != nonceBytes {
		return nil, errors.New("not a session of this system")
	}
	return &Token{
		Owner: msg.Owner, Incarnation: msg.Incarnation,
		Issued: vm.Instant(msg.IssuedNs), Lifetime: time.Duration(msg.LifetimeNs),
		Window: time.Duration(msg.WindowNs),
		Nonce:  string(msg.Nonce), seal: msg.Seal,
	}, nil
}

// KeepUntil returns how long the keys of the session are remembered. It is fixed
// with the session: were it computed from a setting, raising the setting would
// declare keys known that have been forgotten already, and "not run" be said of one
// that ran.
func (t *Token) KeepUntil() vm.Instant { return t.Ends().Add(t.Window) }

// Issuer issues and verifies the sessions of one run of a daemon.
type Issuer struct {
	self vm.Identity
	key  []byte
}

// NewIssuer returns an Issuer with a fresh secret, so that a session of another
// run never verifies.
func NewIssuer(self vm.Identity) *Issuer {
	key := make([]byte, sealKeyBytes)
	_, _ = rand.Read(key) // never fails: crypto/rand ends the process instead
	return &Issuer{self: self, key: key}
}

// Issue returns a new session as text: it takes new keys for lifetime, and keys
// are remembered for window after that.
func (i *Issuer) Issue(now vm.Instant, lifetime, window time.Duration) string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	msg := &wire.SessionToken{
		Owner: i.self.Name, Incarnation: i.self.Incarnation,
		IssuedNs: int64(now), LifetimeNs: int64(lifetime), WindowNs: int64(window), Nonce: nonce,
	}
	msg.Seal = i.seal(msg)
	raw, err := proto.Marshal(msg)
	if err != nil {
		panic(errors.Wrap(err, "session: marshal")) // a message of plain fields always marshals
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Owns reports whether t names this run of the daemon.
func (i *Issuer) Owns(t *Token) bool {
	return t.Owner == i.self.Name && t.Incarnation == i.self.Incarnation
}

// Verify reports whether this run issued t. A made-up session with a lifetime of
// its own could otherwise keep keys in memory for ever.
func (i *Issuer) Verify(t *Token) bool {
	msg := &wire.SessionToken{
		Owner: t.Owner, Incarnation: t.Incarnation,
		IssuedNs: int64(t.Issued), LifetimeNs: int64(t.Lifetime), WindowNs: int64(t.Window), Nonce: []byte(t.Nonce),
	}
	return hmac.Equal(t.seal, i.seal(msg))
}

func (i *Issuer) seal(msg *wire.SessionToken) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
	if err != nil {
		panic(errors.Wrap(err, "session: marshal"))
	}
	mac := hmac.New(sha256.New, i.key)
	mac.Write(raw)
	return mac.Sum(nil)
}

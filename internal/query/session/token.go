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
	macKeyBytes     = 32
	maxSessionBytes = 512
)

// Token is a parsed session. It is not authenticated until Issuer.Verify accepts it.
type Token struct {
	Owner        string // name of the VM whose daemon issued the session
	Incarnation  uint64
	Issued       vm.Instant // on the owner's clock
	Lifetime     time.Duration
	ResendWindow time.Duration // time after the expiry in which a resend still finds the first outcome
	Nonce        string
	mac          []byte
}

// ExpiresAt returns the time from which on the session accepts no new keys, on the owner's
// clock.
func (t *Token) ExpiresAt() vm.Instant { return t.Issued.Add(t.Lifetime) }

// Parse parses the text form of a session. It doesn't check the MAC.
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
		ResendWindow: time.Duration(msg.WindowNs),
		Nonce:        string(msg.Nonce), mac: msg.Seal,
	}, nil
}

// KeysKeptUntil returns until when the keys of the session are kept. It is fixed when the
// session is issued. If it were computed from the current setting, raising the setting would
// extend the time of sessions whose keys were removed already, and a request that ran would
// be answered with "not run".
func (t *Token) KeysKeptUntil() vm.Instant { return t.ExpiresAt().Add(t.ResendWindow) }

// Issuer issues and verifies the sessions of one incarnation of a daemon.
type Issuer struct {
	self   vm.Identity
	macKey []byte
}

// NewIssuer returns an Issuer with a new random MAC key, so that sessions of other
// incarnations never verify.
func NewIssuer(self vm.Identity) *Issuer {
	macKey := make([]byte, macKeyBytes)
	_, _ = rand.Read(macKey) // never fails: crypto/rand crashes the program instead
	return &Issuer{self: self, macKey: macKey}
}

// Issue returns the text form of a new session. The session accepts new keys for lifetime,
// and its keys are kept for window after that.
func (i *Issuer) Issue(now vm.Instant, lifetime, window time.Duration) string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	msg := &wire.SessionToken{
		Owner: i.self.Name, Incarnation: i.self.Incarnation,
		IssuedNs: int64(now), LifetimeNs: int64(lifetime), WindowNs: int64(window), Nonce: nonce,
	}
	msg.Seal = i.computeMAC(msg)
	raw, err := proto.Marshal(msg)
	if err != nil {
		panic(errors.Wrap(err, "session: marshal")) // a message with only scalar fields always marshals
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Owns reports whether t names this incarnation of the daemon.
func (i *Issuer) Owns(t *Token) bool {
	return t.Owner == i.self.Name && t.Incarnation == i.self.Incarnation
}

// Verify reports whether i issued t. Without this check, a forged session with an arbitrary
// lifetime could keep keys in memory indefinitely.
func (i *Issuer) Verify(t *Token) bool {
	msg := &wire.SessionToken{
		Owner: t.Owner, Incarnation: t.Incarnation,
		IssuedNs: int64(t.Issued), LifetimeNs: int64(t.Lifetime), WindowNs: int64(t.ResendWindow), Nonce: []byte(t.Nonce),
	}
	return hmac.Equal(t.mac, i.computeMAC(msg))
}

// computeMAC returns the MAC of msg, whose Seal field must be empty.
func (i *Issuer) computeMAC(msg *wire.SessionToken) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
	if err != nil {
		panic(errors.Wrap(err, "session: marshal"))
	}
	mac := hmac.New(sha256.New, i.macKey)
	mac.Write(raw)
	return mac.Sum(nil)
}

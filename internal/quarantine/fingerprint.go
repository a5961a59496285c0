package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

// Fingerprint identifies a request by its content and its caller. It resists forgery: no
// caller can construct a request with the fingerprint of another caller's request.
type Fingerprint [16]byte

// Request holds the parts of a request that its fingerprints are computed from.
type Request struct {
	Method string
	Host   string
	URI    string // path and query
	Caller string // address without the port
	Body   []byte // the whole body, or its beginning if it is streamed
	Length int64  // length of the whole body; -1: not stated
}

// Scope is the set of requests that a fingerprint covers. Any part of a request can cause
// the crash, so a request whose query or caller address changes each time never has the same
// exact fingerprint twice. A wider scope is blocked only if several narrower ones were
// reported.
type Scope int

// The scopes.
const (
	Exact             Scope = iota // only the same request from the same caller
	AnyQuery                       // any query from the same caller
	AnyCaller                      // the same request from any caller
	AnyQueryAnyCaller              // any query from any caller
	numScopes
)

// narrowerScopes lists the next narrower scopes of each scope.
var narrowerScopes = [numScopes][]Scope{AnyQuery: {Exact}, AnyCaller: {Exact}, AnyQueryAnyCaller: {AnyQuery, AnyCaller}}

// Fingerprints are the fingerprints of one request, by scope.
type Fingerprints [numScopes]Fingerprint

// Fingerprints returns the fingerprints of the request in every scope.
func (r *Request) Fingerprints() Fingerprints {
	path, _, _ := strings.Cut(r.URI, "?")
	return Fingerprints{
		Exact:             r.hash(Exact, r.URI, r.Caller),
		AnyQuery:          r.hash(AnyQuery, path, r.Caller),
		AnyCaller:         r.hash(AnyCaller, r.URI, ""),
		AnyQueryAnyCaller: r.hash(AnyQueryAnyCaller, path, ""),
	}
}

// Describe returns a description, for operators, of the requests that the fingerprint of a
// scope covers.
func (r *Request) Describe(scope Scope) string {
	path, _, _ := strings.Cut(r.URI, "?")
	switch scope {
	case Exact:
		return r.Method + " " + r.Host + r.URI + " from " + r.Caller
	case AnyQuery:
		return r.Method + " " + r.Host + path + " with any query from " + r.Caller
	case AnyCaller:
		return r.Method + " " + r.Host + r.URI + " from anybody"
	}
	return r.Method + " " + r.Host + path + " with any query from anybody"
}

func (r *Request) hash(scope Scope, uri, caller string) Fingerprint {
	h := sha256.New()
	var number [8]byte
	add := func(n int64) {
		binary.LittleEndian.PutUint64(number[:], uint64(n))
		_, _ = h.Write(number[:]) // hash.Hash never returns an error
	}
	add(int64(scope))
	for _, s := range [...]string{r.Method, r.Host, uri, caller} {
		add(int64(len(s)))
		_, _ = h.Write([]byte(s))
	}
	add(r.Length)
	_, _ = h.Write(r.Body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ToWire returns the fingerprints in the form used in messages.
func (fs *Fingerprints) ToWire() [][]byte {
	out := make([][]byte, len(fs))
	for w := range fs {
		out[w] = fs[w][:]
	}
	return out
}

// FingerprintsFromWire decodes the output of ToWire. It returns false if the input is
// malformed.
func FingerprintsFromWire(in [][]byte) (fs Fingerprints, ok bool) {
	if len(in) != len(fs) {
		return fs, false
	}
	for w, b := range in {
		if fs[w], ok = FingerprintFromBytes(b); !ok {
			return fs, false
		}
	}
	return fs, true
}

// FingerprintFromBytes decodes a fingerprint of a message. It returns false if the length is
// wrong.
func FingerprintFromBytes(b []byte) (f Fingerprint, ok bool) {
	if len(b) != len(f) {
		return f, false
	}
	return Fingerprint(b), true
}

// ParseFingerprint parses the output of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(f) {
		return f, errors.Newf("quarantine: %q is no fingerprint, %d hexadecimal digits", text, 2*len(f))
	}
	return Fingerprint(raw), nil
}

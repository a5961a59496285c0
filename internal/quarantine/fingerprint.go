package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

// Fingerprint names a request by its content and its caller. It withstands forgery: nobody
// can make a request that shares the fingerprint of another caller's.
type Fingerprint [16]byte

// Request is what fingerprints are made of.
type Request struct {
	Method string
	Host   string
	URI    string // path and query
	Caller string // address without the port
	Body   []byte // whole, or the beginning of one that is passed on as it arrives
	Length int64  // of the whole body; -1: not stated
}

// Width is how much of a request a fingerprint leaves open. What crashes a leaf may be in
// any of it: a request that comes with another query each time, or from another address,
// has no exact fingerprint twice. A wide one is held only against requests that vary.
type Width int

// The widths.
const (
	Exact Width = iota
	AnyQuery
	AnyCaller
	AnyBoth // any query of any caller
	widths
)

// narrower are the widths next below each.
var narrower = [widths][]Width{AnyQuery: {Exact}, AnyCaller: {Exact}, AnyBoth: {AnyQuery, AnyCaller}}

// Fingerprints name one request, by width.
type Fingerprints [widths]Fingerprint

// Fingerprints returns the request's names.
func (r *Request) Fingerprints() Fingerprints {
	path, _, _ := strings.Cut(r.URI, "?")
	return Fingerprints{
		Exact:     r.sum(Exact, r.URI, r.Caller),
		AnyQuery:  r.sum(AnyQuery, path, r.Caller),
		AnyCaller: r.sum(AnyCaller, r.URI, ""),
		AnyBoth:   r.sum(AnyBoth, path, ""),
	}
}

// Describe says for operators what the fingerprint of a width stands for.
func (r *Request) Describe(w Width) string {
	path, _, _ := strings.Cut(r.URI, "?")
	switch w {
	case Exact:
		return r.Method + " " + r.Host + r.URI + " from " + r.Caller
	case AnyQuery:
		return r.Method + " " + r.Host + path + " with any query from " + r.Caller
	case AnyCaller:
		return r.Method + " " + r.Host + r.URI + " from anybody"
	}
	return r.Method + " " + r.Host + path + " with any query from anybody"
}

func (r *Request) sum(w Width, uri, caller string) Fingerprint {
	h := sha256.New()
	var number [8]byte
	add := func(n int64) {
		binary.LittleEndian.PutUint64(number[:], uint64(n))
		_, _ = h.Write(number[:]) // a hash takes everything
	}
	add(int64(w))
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

// ToWire returns the fingerprints as they go into messages.
func (fs *Fingerprints) ToWire() [][]byte {
	out := make([][]byte, len(fs))
	for w := range fs {
		out[w] = fs[w][:]
	}
	return out
}

// FingerprintsFromWire reads what ToWire returned; false if it can't be that.
func FingerprintsFromWire(in [][]byte) (fs Fingerprints, ok bool) {
	if len(in) != len(fs) {
		return fs, false
	}
	for w, b := range in {
		if fs[w], ok = FromBytes(b); !ok {
			return fs, false
		}
	}
	return fs, true
}

// FromBytes reads a fingerprint of a message; false if it can't be one.
func FromBytes(b []byte) (f Fingerprint, ok bool) {
	if len(b) != len(f) {
		return f, false
	}
	return Fingerprint(b), true
}

// Parse reads what String wrote.
func Parse(text string) (Fingerprint, error) {
	var f Fingerprint
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(f) {
		return f, errors.Newf("quarantine: %q is no fingerprint, %d hexadecimal digits", text, 2*len(f))
	}
	return Fingerprint(raw), nil
}

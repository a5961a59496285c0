package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Fingerprint names a request by its content and its caller. It withstands forgery: nobody
// can make a request that shares the fingerprint of another caller's.
type Fingerprint [16]byte

// Request is what a fingerprint is made of.
type Request struct {
	Method string
	Host   string
	URI    string // path and query
	Caller string // address without the port
	Body   []byte // whole, or the beginning of one that is passed on as it arrives
	Length int64  // of the whole body; -1: not stated
}

// Fingerprint returns the request's name.
func (r *Request) Fingerprint() Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, s := range [...]string{r.Method, r.Host, r.URI, r.Caller} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = h.Write(size[:]) // a hash takes everything
		_, _ = h.Write([]byte(s))
	}
	binary.LittleEndian.PutUint64(size[:], uint64(r.Length))
	_, _ = h.Write(size[:])
	_, _ = h.Write(r.Body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Bytes returns the fingerprint as it goes into messages.
func (f Fingerprint) Bytes() []byte { return f[:] }

// FromBytes reads what Bytes returned; false if it can't be one.
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

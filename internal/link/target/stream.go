package target

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrStreamTaken is the cause of a send whose body another send is reading or has read.
var ErrStreamTaken = errors.New("target: another send has the body of the request")

// Stream is the remainder of a request body that is read while it is sent. It can be read only
// once, so only one send gets it: the first that writes its request, or ReadAll.
type Stream struct {
	reader       io.Reader
	length       int64
	trailerNames []string
	trailer      func() http.Header
	hidden       []string // trailers that are not sent
	taken        atomic.Bool
}

// NewStream returns a stream of what reader returns. length is that of the whole body, with what
// was read of it before; negative: unknown, it is sent in chunks. trailerNames are announced
// before the body. trailer is called only after reader has returned io.EOF, since net/http
// writes to the trailer until then.
func NewStream(reader io.Reader, length int64, trailerNames []string, trailer func() http.Header) *Stream {
	return &Stream{reader: reader, length: length, trailerNames: trailerNames, trailer: trailer}
}

// Length returns the length of the whole body in bytes, negative if it is unknown.
func (s *Stream) Length() int64 { return s.length }

// HideTrailers keeps the named trailers from being sent. It must be called before any send.
func (s *Stream) HideTrailers(names ...string) {
	for _, name := range names {
		s.hidden = append(s.hidden, http.CanonicalHeaderKey(name))
	}
	s.trailerNames = slices.DeleteFunc(s.trailerNames, func(name string) bool { return slices.Contains(s.hidden, name) })
}

// ReadAll reads the stream through wrap. It returns the whole body, which begins with start, and its
// trailer.
func (s *Stream) ReadAll(start []byte, wrap func(io.Reader) io.Reader) (body []byte, trailer http.Header, err error) {
	if !s.take() {
		return nil, nil, ErrStreamTaken
	}
	buf := bytes.NewBuffer(start)
	if _, err := buf.ReadFrom(wrap(s.reader)); err != nil {
		return nil, nil, err
	}
	return buf.Bytes(), s.finalTrailer(), nil
}

// take makes the caller the only reader. It returns false if there is one already.
func (s *Stream) take() bool { return s.taken.CompareAndSwap(false, true) }

// giveBack undoes take. Nothing may have been read.
func (s *Stream) giveBack() { s.taken.Store(false) }

// finalTrailer returns the trailer. The reader must have returned io.EOF.
func (s *Stream) finalTrailer() http.Header {
	if s.trailer == nil {
		return nil
	}
	out := s.trailer().Clone()
	for _, name := range s.hidden {
		delete(out, name)
	}
	return out
}

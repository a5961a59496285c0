package decision

import "io"

// blockBytes is the size of the write buffer, in bytes.
const blockBytes = 8 << 10

// blockWriter buffers lines and writes them in blocks of whole lines. Other output to the
// same file, such as the trace of a crash by the Go runtime, then falls between lines and
// not inside one. It is not safe for concurrent use.
type blockWriter struct {
	out io.Writer
	buf []byte
}

func newBlockWriter(out io.Writer) *blockWriter {
	return &blockWriter{out: out, buf: make([]byte, 0, blockBytes)}
}

// Write implements io.Writer for one whole line.
func (w *blockWriter) Write(line []byte) (int, error) {
	w.add(line)
	return len(line), nil
}

func (w *blockWriter) add(line []byte) {
	if len(w.buf)+len(line) > blockBytes {
		w.flush()
	}
	w.buf = append(w.buf, line...)
}

// flush writes the buffered lines. A write error is ignored, because there is no other
// place to report it than the log.
func (w *blockWriter) flush() {
	if len(w.buf) > 0 {
		_, _ = w.out.Write(w.buf)
		w.buf = w.buf[:0]
	}
}

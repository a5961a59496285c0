package decision

import "io"

// blockBytes is how much is written at once, in bytes.
const blockBytes = 8 << 10

// blockWriter joins lines to blocks and writes only whole lines: whoever else writes to
// the same output, as the runtime does when the process crashes, stands between lines
// and not inside one. One goroutine uses it.
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

// flush puts out the block. A failure to write the log can't be told anywhere but in the log.
func (w *blockWriter) flush() {
	if len(w.buf) > 0 {
		_, _ = w.out.Write(w.buf)
		w.buf = w.buf[:0]
	}
}

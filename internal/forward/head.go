package forward

import (
	"bytes"
	"net/http"
)

// hopByHop are the headers that concern one connection only, and those that the
// link writes itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// StripHop removes from h what concerns one connection only, headers that its
// Connection header names included.
func StripHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range bytes.Split([]byte(line), []byte{','}) {
			h.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// targetOf returns the path with query and the host of a head that head has rendered.
func targetOf(head []byte) (uri, host string) {
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	_, target, _ := bytes.Cut(line, []byte{' '})
	target = bytes.TrimSuffix(target, []byte(" HTTP/1.1"))
	line, _, _ = bytes.Cut(rest, []byte("\r\n"))
	return string(target), string(bytes.TrimPrefix(line, []byte("Host: ")))
}

// head renders the request line and the headers that all leaves get.
func head(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(256)
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	_ = req.Header.Write(&b) // a buffer takes everything
	return b.Bytes()
}

package forward

import (
	"bytes"
	"net/http"
)

// hopByHop lists the hop-by-hop headers and the headers that the link to a leaf writes itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// StripHopByHop removes the hop-by-hop headers from h, including those named in its Connection
// header.
func StripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range bytes.Split([]byte(line), []byte{','}) {
			h.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// parseHead returns the request URI and the host of a head rendered by renderHead.
func parseHead(head []byte) (uri, host string) {
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	_, target, _ := bytes.Cut(line, []byte{' '})
	target = bytes.TrimSuffix(target, []byte(" HTTP/1.1"))
	line, _, _ = bytes.Cut(rest, []byte("\r\n"))
	return string(target), string(bytes.TrimPrefix(line, []byte("Host: ")))
}

// renderHead renders the request line and the headers that are sent to every leaf.
func renderHead(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(256)
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	_ = req.Header.Write(&b) // writes to a bytes.Buffer do not fail
	return b.Bytes()
}

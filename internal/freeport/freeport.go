// Package freeport finds ports for processes that tests and benches start.
package freeport

import (
	"net"

	"github.com/cockroachdb/errors"
)

// Addrs returns n addresses on the host that are free now, each with a port of its
// own. All are held until the last is found: the kernel may give a port that was
// just released again, and a process told to listen on it twice does not start.
func Addrs(host string, n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		lis, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "freeport")
		}
		defer lis.Close()
		out[i] = lis.Addr().String()
	}
	return out, nil
}

// Ports is Addrs without the host.
func Ports(host string, n int) ([]string, error) {
	out, err := Addrs(host, n)
	for i := range out {
		if _, out[i], err = net.SplitHostPort(out[i]); err != nil {
			return nil, errors.Wrap(err, "freeport")
		}
	}
	return out, err
}

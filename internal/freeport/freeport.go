// Package freeport finds free ports for processes started by tests and benchmarks.
package freeport

import (
	"net"

	"github.com/cockroachdb/errors"
)

// Addrs returns n free addresses on the host with different ports. All listeners stay open
// until the last one is found: the kernel may return a port that was just released again,
// and a process that is to listen on one port twice does not start.
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

// Ports is like Addrs but returns only the ports.
func Ports(host string, n int) ([]string, error) {
	out, err := Addrs(host, n)
	for i := range out {
		if _, out[i], err = net.SplitHostPort(out[i]); err != nil {
			return nil, errors.Wrap(err, "freeport")
		}
	}
	return out, err
}

package main

import "net"

// freePorts returns n addresses that are free now. Control VMs name each other
// before any of them runs, so the kernel can't pick their ports at start.
func freePorts(n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer lis.Close()
		addrs[i] = lis.Addr().String()
	}
	return addrs, nil
}

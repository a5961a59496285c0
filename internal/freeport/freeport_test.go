package freeport

import (
	"net"
	"testing"
)

// The ports must differ. If each were released before the next is found, the kernel would
// sometimes return one twice, and a daemon given both would not start.
func TestPortsAreDistinct(t *testing.T) {
	const rounds, each = 300, 40
	for range rounds {
		ports, err := Ports("127.0.0.1", each)
		if err != nil {
			t.Fatal(err)
		}
		seen := make(map[string]bool)
		for _, p := range ports {
			if seen[p] {
				t.Fatalf("port %s returned twice", p)
			}
			seen[p] = true
		}
	}
}

func TestAddrsAreFree(t *testing.T) {
	addrs, err := Addrs("127.0.0.1", 3)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range addrs {
		lis, err := net.Listen("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		lis.Close()
	}
	if _, err := Addrs("no.such.host.invalid", 1); err == nil {
		t.Error("no error for a host that does not exist")
	}
}

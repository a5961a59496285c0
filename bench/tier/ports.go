package tier

import "net"

// FreePorts asks the kernel for n addresses that are free now. They are released
// before use, since a restarted daemon must come back at the address it had.
func FreePorts(n int) ([]string, error) {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	addrs := make([]string, n)
	for i := range addrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		addrs[i] = l.Addr().String()
	}
	return addrs, nil
}

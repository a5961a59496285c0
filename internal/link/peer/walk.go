package peer

import "context"

// TryEach calls ask for the daemons at addrs in turn until one has answered or ctx ends.
// It follows redirects: the daemon that a redirect names is asked next. No address is
// asked twice. It reports whether a daemon has answered.
func TryEach(ctx context.Context, addrs []string, ask func(addr string) (redirect string, answered bool)) bool {
	asked := make(map[string]bool)
	queue := append([]string(nil), addrs...)
	for len(queue) > 0 && ctx.Err() == nil {
		addr := queue[0]
		queue = queue[1:]
		if asked[addr] {
			continue
		}
		asked[addr] = true
		redirect, answered := ask(addr)
		switch {
		case answered:
			return true
		case redirect != "" && !asked[redirect]:
			queue = append([]string{redirect}, queue...)
		}
	}
	return false
}

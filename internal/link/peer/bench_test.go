package peer

import (
	"context"
	"crypto/tls"
	"testing"

	"storj.io/drpc"

	"pearmoor/internal/link/wire"
)

func benchmarkCalls(b *testing.B, server, client *tls.Config, conn func(p *Pool, addr string) drpc.Conn) {
	s := startServer(b, &controlServer{}, server)
	defer func() { _ = s.stop() }()
	pool := NewPool(client)
	defer pool.Close()
	cc := wire.NewDRPCControlClient(conn(pool, s.addr))
	ctx := context.Background()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := cc.Read(ctx, &wire.ReadRequest{}); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func pooled(p *Pool, addr string) drpc.Conn {
	conn, _ := p.Conn(context.Background(), addr)
	return conn
}

// BenchmarkCall compares pooled calls in plain text and over mutual TLS with calls that
// dial each time.
func BenchmarkCall(b *testing.B) {
	dir, a := b.TempDir(), newTestAuthority(b)
	server := loadFiles(b, issueCert(b, a, dir, Identity{Name: "c1", Kind: VM})).ServerConfig()
	client := loadFiles(b, issueCert(b, a, dir, Identity{Name: "asha", Kind: Operator})).ClientConfig()
	b.Run("plain", func(b *testing.B) { benchmarkCalls(b, nil, nil, pooled) })
	b.Run("tls", func(b *testing.B) { benchmarkCalls(b, server, client, pooled) })
	b.Run("tls-dial-each", func(b *testing.B) {
		benchmarkCalls(b, server, client, func(p *Pool, addr string) drpc.Conn { return &dialEach{pool: p, addr: addr} })
	})
}

// dialEach is a drpc.Conn that dials for every call.
type dialEach struct {
	drpc.Conn
	pool *Pool
	addr string
}

// Invoke implements drpc.Conn.
func (d *dialEach) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, err := dial(ctx, d.addr, d.pool.conf, false)
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Invoke(ctx, rpc, enc, in, out)
}

package control

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
)

const (
	queueSize      = 512     // messages to one member; the oldest is dropped
	batchBytes     = 1 << 20 // of messages in one call
	deliverTimeout = time.Second
	deliverPause   = 100 * time.Millisecond // after a failed call
)

// transport sends the machine's messages. It never blocks the driver: messages
// to a member that does not take them are dropped, which the machine expects.
type transport struct {
	cfg *Config

	mu    sync.Mutex
	ctx   context.Context // nil before run
	wg    sync.WaitGroup
	links map[uint64]*peerLink
	addrs map[uint64]string
	names map[uint64]string
}

func newTransport(cfg *Config) *transport {
	t := &transport{cfg: cfg, links: make(map[uint64]*peerLink), addrs: make(map[uint64]string), names: make(map[uint64]string)}
	for id, addr := range cfg.Voters {
		t.addrs[id] = addr
	}
	return t
}

// run keeps the links going until ctx ends.
func (t *transport) run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	for _, l := range t.links {
		t.start(l)
	}
	t.mu.Unlock()
	<-ctx.Done()
	t.wg.Wait()
}

func (t *transport) start(l *peerLink) {
	ctx := t.ctx
	t.wg.Go(func() { l.run(ctx) })
}

// learn notes where a member is reached.
func (t *transport) learn(id uint64, addr string) {
	if addr == "" || id == t.cfg.ID {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addrs[id] = addr
	if l := t.links[id]; l != nil {
		l.setAddr(addr)
	}
}

// learnName notes what a member calls itself.
func (t *transport) learnName(id uint64, name string) {
	if name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.names[id] = name
}

func (t *transport) nameOf(id uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.names[id]
}

func (t *transport) send(msgs []*quorum.Message) {
	for _, m := range msgs {
		if l := t.link(m.To); l != nil {
			l.put(m)
		}
	}
}

// link returns the link to a member, nil if its address is not known.
func (t *transport) link(id uint64) *peerLink {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[id]; l != nil {
		return l
	}
	addr, ok := t.addrs[id]
	if !ok {
		return nil
	}
	l := &peerLink{cfg: t.cfg, id: id, addr: addr, ready: make(chan struct{}, 1)}
	t.links[id] = l
	if t.ctx != nil && t.ctx.Err() == nil {
		t.start(l)
	}
	return l
}

// peerLink sends to one member, in order.
type peerLink struct {
	cfg   *Config
	id    uint64
	ready chan struct{}

	mu    sync.Mutex
	addr  string
	queue []*quorum.Message
	down  bool
}

func (l *peerLink) setAddr(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addr = addr
}

func (l *peerLink) put(m *quorum.Message) {
	l.mu.Lock()
	if len(l.queue) >= queueSize {
		l.queue = append(l.queue[:0], l.queue[1:]...)
	}
	l.queue = append(l.queue, m)
	l.mu.Unlock()
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

func (l *peerLink) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.ready:
		}
		for batch, addr := l.take(); len(batch.Payloads) > 0; batch, addr = l.take() {
			err := l.deliver(ctx, addr, batch)
			l.report(err)
			if err == nil {
				continue
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(deliverPause):
			}
		}
	}
}

// take returns the oldest messages, up to batchBytes.
func (l *peerLink) take() (*wire.QuorumMessage, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := &wire.QuorumMessage{From: l.cfg.ID, FromAddr: l.cfg.PeerAddr, FromName: l.cfg.Name}
	size, n := 0, 0
	for _, m := range l.queue {
		if size >= batchBytes {
			break
		}
		n++
		b, err := quorum.Encode(m)
		if err != nil {
			klog.Errorf("control: message to control VM %d not sent: %v", l.id, err)
			continue
		}
		batch.Payloads = append(batch.Payloads, b)
		size += len(b)
	}
	l.queue = append(l.queue[:0], l.queue[n:]...)
	return batch, l.addr
}

// deliver makes one call. Its limit counts what it carries: the entry of a long change that
// took longer than the limit would be sent and ended for ever, and its member fall behind.
func (l *peerLink) deliver(ctx context.Context, addr string, batch *wire.QuorumMessage) error {
	size := 0
	for _, b := range batch.Payloads {
		size += len(b)
	}
	ctx, cancel := context.WithTimeout(ctx, peer.TimeFor(deliverTimeout, size))
	defer cancel()
	conn, err := l.cfg.Conns.Conn(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = wire.NewDRPCQuorumClient(conn).Deliver(ctx, batch)
	return err
}

// report logs only when a member is lost or found again.
func (l *peerLink) report(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if down := err != nil; down != l.down {
		l.down = down
		if down {
			klog.Warningf("control: control VM %d does not take messages: %v", l.id, err)
		} else {
			klog.Infof("control: control VM %d takes messages again", l.id)
		}
	}
}

package control

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
	"pearmoor/internal/quorum/quorumpb"
)

const (
	queueSize      = 512     // messages of one lane to one member; the oldest is dropped
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
	t.wg.Go(func() { l.run(ctx, &l.bulk) })
	t.wg.Go(func() { l.run(ctx, &l.word) })
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
	l := &peerLink{cfg: t.cfg, id: id, addr: addr, bulk: newLane(), word: newLane()}
	t.links[id] = l
	if t.ctx != nil && t.ctx.Err() == nil {
		t.start(l)
	}
	return l
}

// peerLink sends to one member, over two lanes that do not wait for each other.
//
// An entry of thousands of edits is under way for tenths of a second, to every member at
// once. With heartbeats behind it the leader hears nobody for an election time, gives up its
// place and leaves the order that it was carrying in doubt, as it will the next one of that
// size. Entries and pieces of snapshots keep their order among themselves, without which a
// member refuses what follows the one that it has not got and is sent both again.
type peerLink struct {
	cfg  *Config
	id   uint64
	bulk lane // entries and snapshots
	word lane // everything else: heartbeats, votes, replies

	mu   sync.Mutex
	addr string
	down bool
}

// lane holds the messages of one kind, oldest first.
type lane struct {
	ready chan struct{} // holds a token when there are some

	mu    sync.Mutex
	queue []*quorum.Message
}

func newLane() lane { return lane{ready: make(chan struct{}, 1)} }

func (l *peerLink) setAddr(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addr = addr
}

func (l *peerLink) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

func (l *peerLink) put(m *quorum.Message) {
	if m.Kind == quorumpb.Kind_APPEND || m.Kind == quorumpb.Kind_SNAPSHOT {
		l.bulk.put(m)
		return
	}
	l.word.put(m)
}

func (n *lane) put(m *quorum.Message) {
	n.mu.Lock()
	if len(n.queue) >= queueSize {
		n.queue = append(n.queue[:0], n.queue[1:]...)
	}
	n.queue = append(n.queue, m)
	n.mu.Unlock()
	select {
	case n.ready <- struct{}{}:
	default:
	}
}

// run sends what a lane holds until ctx ends.
func (l *peerLink) run(ctx context.Context, n *lane) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.ready:
		}
		for batch := l.take(n); len(batch.Payloads) > 0; batch = l.take(n) {
			err := l.deliver(ctx, l.address(), batch)
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

// take returns the oldest messages of a lane, up to batchBytes.
func (l *peerLink) take(from *lane) *wire.QuorumMessage {
	from.mu.Lock()
	defer from.mu.Unlock()
	batch := &wire.QuorumMessage{From: l.cfg.ID, FromAddr: l.cfg.PeerAddr, FromName: l.cfg.Name}
	size, n := 0, 0
	for _, m := range from.queue {
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
	from.queue = append(from.queue[:0], from.queue[n:]...)
	return batch
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

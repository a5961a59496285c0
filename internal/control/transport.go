package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
	"pearmoor/internal/quorum/quorumpb"
	"pearmoor/internal/vm"
)

const (
	maxQueuedMessages = 512     // messages per queue; a full queue drops its oldest message
	maxBatchBytes     = 1 << 20 // encoded messages in one call; the last message may exceed it
	deliverTimeout    = time.Second
	deliverRetryDelay = 100 * time.Millisecond // after a failed call
)

// transport sends the machine's messages to the other members. It never blocks the driver:
// messages to an unresponsive member are dropped, which the machine tolerates.
type transport struct {
	cfg   *Config
	group func() vm.GroupID

	mu    sync.Mutex
	ctx   context.Context // nil before run
	wg    sync.WaitGroup
	links map[uint64]*peerLink
	addrs map[uint64]string
	names map[uint64]string
}

func newTransport(cfg *Config, group func() vm.GroupID) *transport {
	t := &transport{cfg: cfg, group: group, links: make(map[uint64]*peerLink), addrs: make(map[uint64]string), names: make(map[uint64]string)}
	for id, addr := range cfg.Voters {
		t.addrs[id] = addr
	}
	return t
}

// run runs the links until ctx is done.
func (t *transport) run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	for _, l := range t.links {
		t.startLink(l)
	}
	t.mu.Unlock()
	<-ctx.Done()
	t.wg.Wait()
}

func (t *transport) startLink(l *peerLink) {
	ctx := t.ctx
	t.wg.Go(func() { l.run(ctx, &l.bulk) })
	t.wg.Go(func() { l.run(ctx, &l.urgent) })
}

// setAddr sets the address of a member.
func (t *transport) setAddr(id uint64, addr string) {
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

// setName sets the name of a member, as stated in its messages.
func (t *transport) setName(id uint64, name string) {
	if name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.names[id] = name
}

func (t *transport) name(id uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.names[id]
}

func (t *transport) send(msgs []*quorum.Message) {
	for _, m := range msgs {
		if l := t.link(m.To); l != nil {
			l.enqueue(m)
		}
	}
}

// link returns the link to a member, creating it if needed, or nil if the member's address
// is unknown.
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
	l := &peerLink{cfg: t.cfg, group: t.group, id: id, addr: addr, bulk: newSendQueue(), urgent: newSendQueue()}
	t.links[id] = l
	if t.ctx != nil && t.ctx.Err() == nil {
		t.startLink(l)
	}
	return l
}

// peerLink sends messages to one member through two independent queues.
//
// Sending an entry with thousands of edits takes tenths of a second, and the leader sends it
// to all members at the same time. If heartbeats were queued behind it, the leader would
// hear from no member for an election timeout and step down, which leaves the outcome of the
// change unknown; every other change of that size would fail in the same way. Entries and
// snapshot chunks share a queue to keep their order: a member rejects a message whose
// predecessor it has not received, and both would have to be sent again.
type peerLink struct {
	cfg    *Config
	group  func() vm.GroupID
	id     uint64
	bulk   sendQueue // entries and snapshots
	urgent sendQueue // all other messages: heartbeats, votes, replies

	mu   sync.Mutex
	addr string
	down bool
}

// sendQueue is a bounded queue of messages, oldest first.
type sendQueue struct {
	ready chan struct{} // buffered, capacity 1; signals that messages may be queued

	mu       sync.Mutex
	messages []*quorum.Message
}

func newSendQueue() sendQueue { return sendQueue{ready: make(chan struct{}, 1)} }

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

func (l *peerLink) enqueue(m *quorum.Message) {
	if m.Kind == quorumpb.Kind_APPEND || m.Kind == quorumpb.Kind_SNAPSHOT {
		l.bulk.dropBefore(m.Term)
		l.bulk.enqueue(m)
		return
	}
	l.urgent.enqueue(m)
}

// dropBefore removes the messages of earlier terms, which have no effect any more. On a narrow link,
// entries that a leader queued before it was elected again would delay those of its new term.
func (q *sendQueue) dropBefore(term uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.messages = slices.DeleteFunc(q.messages, func(m *quorum.Message) bool { return m.Term < term })
}

func (q *sendQueue) enqueue(m *quorum.Message) {
	q.mu.Lock()
	if len(q.messages) >= maxQueuedMessages {
		q.messages = append(q.messages[:0], q.messages[1:]...)
	}
	q.messages = append(q.messages, m)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// run sends the messages of a queue until ctx is done.
func (l *peerLink) run(ctx context.Context, q *sendQueue) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.ready:
		}
		for batch := l.nextBatch(q); len(batch.Payloads) > 0; batch = l.nextBatch(q) {
			err := l.deliver(ctx, l.address(), batch)
			l.logConnState(err)
			if err == nil {
				continue
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(deliverRetryDelay):
			}
		}
	}
}

// nextBatch removes the oldest messages from a queue, about maxBatchBytes in all, and
// returns them.
func (l *peerLink) nextBatch(q *sendQueue) *wire.QuorumMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := &wire.QuorumMessage{From: l.cfg.ID, FromAddr: l.cfg.PeerAddr, FromName: l.cfg.Name, Group: l.group().Wire()}
	size, n := 0, 0
	for _, m := range q.messages {
		if size >= maxBatchBytes {
			break
		}
		n++
		b, err := quorum.Encode(m)
		if err != nil {
			klog.Errorf("control: encoding a message to control VM %d failed: %v", l.id, err)
			continue
		}
		batch.Payloads = append(batch.Payloads, b)
		size += len(b)
	}
	q.messages = append(q.messages[:0], q.messages[n:]...)
	return batch
}

// deliver sends a batch in one call. The time limit grows with the size of the batch: with a
// fixed limit, a large entry on a slow link would time out on every attempt, and the member
// would fall behind for good.
func (l *peerLink) deliver(ctx context.Context, addr string, batch *wire.QuorumMessage) error {
	size := 0
	for _, b := range batch.Payloads {
		size += len(b)
	}
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout(deliverTimeout, size))
	defer cancel()
	conn, err := l.cfg.Conns.Conn(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = wire.NewDRPCQuorumClient(conn).Deliver(ctx, batch)
	return err
}

// logConnState logs when deliveries to the member start to fail and when they succeed again.
func (l *peerLink) logConnState(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if down := err != nil; down != l.down {
		l.down = down
		if down {
			klog.Warningf("control: delivery to control VM %d fails: %v", l.id, err)
		} else {
			klog.Infof("control: delivery to control VM %d works again", l.id)
		}
	}
}

package quorum

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

// Encode returns the bytes of a message.
func Encode(msg *Message) ([]byte, error) {
	b, err := proto.Marshal(msg)
	return b, errors.Wrap(err, "quorum: encode message")
}

// Decode reads the bytes of a message. Whether it makes sense is checked by Step.
func Decode(b []byte) (*Message, error) {
	msg := &Message{}
	if err := proto.Unmarshal(b, msg); err != nil {
		return nil, errors.Wrap(err, "quorum: decode message")
	}
	return msg, nil
}

// fromLeader reports whether only the leader of msg.Term sends messages of its kind.
func fromLeader(msg *Message) bool {
	switch msg.Kind {
	case quorumpb.Kind_APPEND, quorumpb.Kind_HEARTBEAT, quorumpb.Kind_SNAPSHOT, quorumpb.Kind_TIMEOUT_NOW:
		return true
	}
	return false
}

// promisesNothing reports whether msg may be sent before the journal is synced:
// it tells of no vote cast and no entry held by the sender.
func promisesNothing(msg *Message) bool {
	switch msg.Kind {
	case quorumpb.Kind_APPEND, quorumpb.Kind_HEARTBEAT, quorumpb.Kind_SNAPSHOT:
		return true
	}
	return false
}

// send addresses msg to a member and queues it. Term is the sender's unless set.
func (m *Machine) send(to uint64, msg *Message) {
	msg.From, msg.FromDisk = m.cfg.ID, m.hard.Disk
	msg.To = to
	if msg.ToDisk == 0 {
		msg.ToDisk = find(m.conf(), to).GetDisk()
	}
	if msg.Term == 0 {
		msg.Term = m.hard.Term
	}
	if fromLeader(msg) {
		msg.Round, msg.SentTick = m.round, uint64(m.tick)
	}
	m.outbox = append(m.outbox, msg)
}

// reply queues an answer to msg, which goes to the very disk that asked.
func (m *Machine) reply(msg, answer *Message) {
	answer.ToDisk = msg.FromDisk
	answer.Round, answer.SentTick = msg.Round, msg.SentTick
	m.send(msg.From, answer)
}

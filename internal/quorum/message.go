package quorum

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

// Encode marshals a message.
func Encode(msg *Message) ([]byte, error) {
	b, err := proto.Marshal(msg)
	return b, errors.Wrap(err, "quorum: encode message")
}

// Decode unmarshals a message. Step validates its content.
func Decode(b []byte) (*Message, error) {
	msg := &Message{}
	if err := proto.Unmarshal(b, msg); err != nil {
		return nil, errors.Wrap(err, "quorum: decode message")
	}
	return msg, nil
}

// isLeaderMessage reports whether msg is of a kind that only the leader of msg.Term
// sends.
func isLeaderMessage(msg *Message) bool {
	switch msg.Kind {
	case quorumpb.Kind_APPEND, quorumpb.Kind_HEARTBEAT, quorumpb.Kind_SNAPSHOT, quorumpb.Kind_TIMEOUT_NOW:
		return true
	}
	return false
}

// safeBeforeSync reports whether msg may be sent before the journal is synced: it
// acknowledges neither a vote nor an entry of the sender.
func safeBeforeSync(msg *Message) bool {
	switch msg.Kind {
	case quorumpb.Kind_APPEND, quorumpb.Kind_HEARTBEAT, quorumpb.Kind_SNAPSHOT:
		return true
	}
	return false
}

// send queues msg for a member. An unset Term becomes the current term.
func (m *Machine) send(to uint64, msg *Message) {
	msg.From, msg.FromDisk = m.cfg.ID, m.hardState.Disk
	msg.To = to
	if msg.ToDisk == 0 {
		msg.ToDisk = findMember(m.conf(), to).GetDisk()
	}
	if msg.Term == 0 {
		msg.Term = m.hardState.Term
	}
	if isLeaderMessage(msg) {
		msg.Round, msg.SentTick = m.round, uint64(m.tick)
	}
	msg.Group = m.group()
	m.outbox = append(m.outbox, msg)
}

// reply queues a response to msg, addressed to the disk that sent it.
func (m *Machine) reply(msg, response *Message) {
	response.ToDisk = msg.FromDisk
	response.Round, response.SentTick = msg.Round, msg.SentTick
	m.send(msg.From, response)
}

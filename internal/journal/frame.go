package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame consists of three little-endian integers and the payload:
//
//	length uint32 of the payload | crc uint32 | sequence uint64 | payload
//
// The CRC32C covers length, sequence and payload. The sequence numbers of the frames
// of a log are consecutive across its files.
const (
	frameHeaderSize = 16
	maxFrameSize    = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(buf []byte, seq uint64, payload []byte) []byte {
	var h [frameHeaderSize]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(h[8:], seq)
	binary.LittleEndian.PutUint32(h[4:], checksum(h[:], payload))
	buf = append(buf, h[:]...)
	return append(buf, payload...)
}

func checksum(header, payload []byte) uint32 {
	c := crc32.Checksum(header[0:4], castagnoli)
	c = crc32.Update(c, castagnoli, header[8:16])
	return crc32.Update(c, castagnoli, payload)
}

// readFrame returns the frame at the start of b and its size including the header. ok
// is false if the frame is incomplete or its checksum is wrong.
func readFrame(b []byte) (seq uint64, payload []byte, size int, ok bool) {
	if len(b) < frameHeaderSize {
		return 0, nil, 0, false
	}
	n := binary.LittleEndian.Uint32(b)
	if n > maxFrameSize || int(n) > len(b)-frameHeaderSize {
		return 0, nil, 0, false
	}
	size = frameHeaderSize + int(n)
	payload = b[frameHeaderSize:size]
	if checksum(b, payload) != binary.LittleEndian.Uint32(b[4:]) {
		return 0, nil, 0, false
	}
	return binary.LittleEndian.Uint64(b[8:]), payload, size, true
}

// findFrameAfter searches b for a valid frame with a sequence number in
// (after, after+window] and returns its offset.
func findFrameAfter(b []byte, after uint64) (int, bool) {
	const window = 1 << 20
	for i := 0; i+frameHeaderSize <= len(b); i++ {
		seq := binary.LittleEndian.Uint64(b[i+8:])
		if seq <= after || seq-after > window {
			continue
		}
		if _, _, _, ok := readFrame(b[i:]); ok {
			return i, true
		}
	}
	return 0, false
}

package forward

import "bytes"

// recordSize is the size of a record in bytes.
const recordSize = 16

// topRecords holds the k greatest records in descending order.
type top struct {
	k    int
	list [][recordSize]byte
}

// add inserts the records of a part. A remainder shorter than a record is ignored.
func (t *top) add(part []byte) {
	for len(part) >= recordSize {
		t.insert([recordSize]byte(part))
		part = part[recordSize:]
	}
}

func (t *top) insert(rec [recordSize]byte) {
	n := len(t.list)
	if n >= t.k && (t.k <= 0 || bytes.Compare(rec[:], t.list[n-1][:]) <= 0) {
		return
	}
	if n < t.k {
		t.list = append(t.list, rec)
		n++
	}
	i := n - 1
	for i > 0 && bytes.Compare(t.list[i-1][:], rec[:]) < 0 {
		t.list[i] = t.list[i-1]
		i--
	}
	t.list[i] = rec
}

// withinTop returns the records of t that are among the k greatest records of other, which
// includes the records of t. The remaining records need not be sent, since k greater records
// have already been sent.
func (t *top) atLeast(other top) *top {
	if other.k <= 0 || len(other.list) < other.k {
		return t
	}
	least := other.list[len(other.list)-1]
	n := len(t.list)
	for n > 0 && bytes.Compare(t.list[n-1][:], least[:]) < 0 {
		n--
	}
	return &top{k: t.k, list: t.list[:n]}
}

func (t *top) bytes() []byte {
	out := make([]byte, 0, len(t.list)*recordSize)
	for i := range t.list {
		out = append(out, t.list[i][:]...)
	}
	return out
}

package forward

import "bytes"

// recordSize is the length of a record, in bytes.
const recordSize = 16

// top keeps the k greatest records, falling.
type top struct {
	k    int
	list [][recordSize]byte
}

// add takes the records of a part; a remainder shorter than a record is none.
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

// atLeast returns the records that are among the k greatest of other, which holds those
// of t: what comes after greater ones were told need not be told.
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

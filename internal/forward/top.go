package forward

import "bytes"

// recordSize is the size of a record in bytes.
const recordSize = 16

// topRecords holds the k greatest records in descending order.
type topRecords struct {
	k       int
	records [][recordSize]byte
}

// add inserts the records of a part. A remainder shorter than a record is ignored.
func (t *topRecords) add(part []byte) {
	for len(part) >= recordSize {
		t.insert([recordSize]byte(part))
		part = part[recordSize:]
	}
}

func (t *topRecords) insert(rec [recordSize]byte) {
	n := len(t.records)
	if n >= t.k && (t.k <= 0 || bytes.Compare(rec[:], t.records[n-1][:]) <= 0) {
		return
	}
	if n < t.k {
		t.records = append(t.records, rec)
		n++
	}
	i := n - 1
	for i > 0 && bytes.Compare(t.records[i-1][:], rec[:]) < 0 {
		t.records[i] = t.records[i-1]
		i--
	}
	t.records[i] = rec
}

// withinTop returns the records of t that are among the k greatest records of other, which
// includes the records of t. The remaining records need not be sent, since k greater records
// have already been sent.
func (t *topRecords) withinTop(other topRecords) *topRecords {
	if other.k <= 0 || len(other.records) < other.k {
		return t
	}
	smallest := other.records[len(other.records)-1]
	n := len(t.records)
	for n > 0 && bytes.Compare(t.records[n-1][:], smallest[:]) < 0 {
		n--
	}
	return &topRecords{k: t.k, records: t.records[:n]}
}

func (t *topRecords) bytes() []byte {
	out := make([]byte, 0, len(t.records)*recordSize)
	for i := range t.records {
		out = append(out, t.records[i][:]...)
	}
	return out
}

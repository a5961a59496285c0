package quarantine

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// fewestEnds is how many leaves have ended before a request is blocked.
	fewestEnds = 3
	// blockCrashes is under how many attempts, one after the other, leaves ended before the
	// request is blocked. One attempt does not tell: a rack without power ends twenty leaves
	// under requests that have nothing to do with it.
	blockCrashes = 3
	// blockAttempts blocks a request of which no attempt was answered, however they ended.
	blockAttempts = 4
)

// fewestVariants is how many narrower names a name stands for before it is blocked. A request
// that comes unchanged is blocked by its exact name alone.
var fewestVariants = [widths]int{Exact: 1, AnyQuery: 2, AnyCaller: 2, AnyBoth: 3}

// Case is what is agreed about one request.
type Case struct {
	Ends     int  // leaves that ended under attempts that no leaf answered
	Crashes  int  // attempts, one after the other, under which leaves ended
	Attempts int  // attempts, one after the other, that reached leaves and had no answer
	Variants int  // narrower names of these
	Blocked  bool // no attempt reaches a leaf
	Request  string
	Seen     time.Time // last report
}

// Report is what became of the leaves that one attempt reached.
type Report struct {
	Request  Fingerprints
	Describe [widths]string // for operators
	Ends     int            // leaves that ended under it
	Survived bool           // a leaf answered it
	Began    time.Duration  // how long before the report it arrived
}

// Name states which request the report is of, as a message does.
func (r *Report) Name(fingerprints [][]byte, describe []string) error {
	var ok bool
	if r.Request, ok = FingerprintsFromWire(fingerprints); !ok || len(describe) != len(r.Describe) {
		return errors.Newf("quarantine: a report with %d fingerprints and %d descriptions, %d of 16 bytes are wanted", len(fingerprints), len(describe), len(r.Request))
	}
	copy(r.Describe[:], describe)
	return nil
}

// after returns the case with a report that is of an attempt after those that it knows of,
// or, if follows is false, of one at the same time. It is false when the request is cleared.
func (c Case) after(r *Report, w Width, follows bool, now time.Time) (Case, bool) {
	if r.Survived {
		return Case{}, false
	}
	if c.Request == "" {
		c.Request = r.Describe[w]
	}
	c.Ends += r.Ends
	c.Seen = now
	if follows {
		c.Attempts++
		if r.Ends > 0 {
			c.Crashes++
		}
	}
	if c.Ends >= fewestEnds && c.Variants >= fewestVariants[w] && (c.Crashes >= blockCrashes || c.Attempts >= blockAttempts) {
		c.Blocked = true
	}
	return c, true
}

package quarantine

import "time"

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

// Case is what is agreed about one request.
type Case struct {
	Ends     int  // leaves that ended under attempts that no leaf answered
	Crashes  int  // attempts, one after the other, under which leaves ended
	Attempts int  // attempts, one after the other, that reached leaves and had no answer
	Blocked  bool // no attempt reaches a leaf
	Request  string
	Seen     time.Time // last report
}

// Report is what became of the leaves that one attempt reached.
type Report struct {
	Request  Fingerprint
	Describe string        // for operators
	Ends     int           // leaves that ended under it
	Survived bool          // a leaf answered it
	Began    time.Duration // how long before the report it arrived
}

// after returns the case with a report that is of an attempt after those that it knows of,
// or, if follows is false, of one at the same time. It is false when the request is cleared.
func (c Case) after(r *Report, follows bool, now time.Time) (Case, bool) {
	if r.Survived {
		return Case{}, false
	}
	if c.Request == "" {
		c.Request = r.Describe
	}
	c.Ends += r.Ends
	c.Seen = now
	if follows {
		c.Attempts++
		if r.Ends > 0 {
			c.Crashes++
		}
	}
	if c.Ends >= fewestEnds && (c.Crashes >= blockCrashes || c.Attempts >= blockAttempts) {
		c.Blocked = true
	}
	return c, true
}

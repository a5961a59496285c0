package quarantine

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minLeafExits is how many leaves must have exited before a request is blocked.
	minLeafExits = 3
	// blockAfterCrashes is the number of consecutive attempts with leaf exits after which a
	// request is blocked. A single attempt proves nothing: a rack that loses power
	// terminates twenty leaves under unrelated requests.
	blockAfterCrashes = 3
	// blockAfterAttempts is the number of consecutive unanswered attempts after which a
	// request is blocked, whether or not leaves exited.
	blockAfterAttempts = 4
)

// minVariants is how many narrower fingerprints a fingerprint must cover before it is
// blocked. A request that is repeated unchanged is blocked by its exact fingerprint only.
var minVariants = [numScopes]int{Exact: 1, AnyQuery: 2, AnyCaller: 2, AnyBoth: 3}

// Case is the state of one suspected or blocked fingerprint, as agreed by the control group.
type Case struct {
	Ends     int       // leaves that exited during attempts that no leaf answered
	Crashes  int       // consecutive attempts with leaf exits
	Attempts int       // consecutive unanswered attempts that reached leaves
	Variants int       // narrower fingerprints among the reported requests
	Blocked  bool      // attempts are not sent to any leaf
	Request  string    // description for operators
	Seen     time.Time // time of the last report
}

// Report is the outcome of one attempt for the leaves that it reached.
type Report struct {
	Request  Fingerprints
	Describe [numScopes]string // descriptions for operators, by scope
	Ends     int               // leaves that exited during the attempt
	Survived bool              // a leaf answered the attempt
	Began    time.Duration     // time from the attempt's arrival to the report
}

// SetRequest sets the fingerprints and descriptions of the reported request from the fields
// of a message.
func (r *Report) Name(fingerprints [][]byte, descriptions []string) error {
	var ok bool
	if r.Request, ok = FingerprintsFromWire(fingerprints); !ok || len(descriptions) != len(r.Describe) {
		return errors.Newf("quarantine: a report with %d fingerprints and %d descriptions, %d of 16 bytes are wanted", len(fingerprints), len(descriptions), len(r.Request))
	}
	copy(r.Describe[:], descriptions)
	return nil
}

// withReport returns the case updated with a report. follows states that the reported
// attempt began after the last report; otherwise it ran concurrently and counts no further
// attempt. The result is false if the report clears the request.
func (c Case) withReport(r *Report, scope Width, follows bool, now time.Time) (Case, bool) {
	if r.Survived {
		return Case{}, false
	}
	if c.Request == "" {
		c.Request = r.Describe[scope]
	}
	c.Ends += r.Ends
	c.Seen = now
	if follows {
		c.Attempts++
		if r.Ends > 0 {
			c.Crashes++
		}
	}
	if c.Ends >= minLeafExits && c.Variants >= minVariants[scope] && (c.Crashes >= blockAfterCrashes || c.Attempts >= blockAfterAttempts) {
		c.Blocked = true
	}
	return c, true
}

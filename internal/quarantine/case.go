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
var minVariants = [numScopes]int{Exact: 1, AnyQuery: 2, AnyCaller: 2, AnyQueryAnyCaller: 3}

// Case is the state of one suspected or blocked fingerprint, as agreed by the control group.
type Case struct {
	LeafExits          int       // leaves that exited during attempts that no leaf answered
	CrashedAttempts    int       // consecutive attempts with leaf exits
	UnansweredAttempts int       // consecutive unanswered attempts that reached leaves
	Variants           int       // number of different narrower fingerprints that were reported
	Blocked            bool      // attempts are not sent to any leaf
	Description        string    // description for operators
	LastReport         time.Time // time of the last report
}

// hasEvidence reports whether enough leaves exited under enough variants of the request for a
// block, which then depends on the number of attempts in a row.
func (c Case) hasEvidence(scope Scope) bool {
	return c.LeafExits >= minLeafExits && c.Variants >= minVariants[scope]
}

// Report is the outcome of one attempt for the leaves that it reached.
type Report struct {
	Fingerprints Fingerprints
	Descriptions [numScopes]string // descriptions for operators, by scope
	LeafExits    int               // leaves that exited during the attempt
	Answered     bool              // a leaf answered the attempt
	Age          time.Duration     // time from the attempt's arrival to the report
}

// SetRequest sets the fingerprints and descriptions of the reported request from the fields
// of a message.
func (r *Report) SetRequest(fingerprints [][]byte, descriptions []string) error {
	var ok bool
	if r.Fingerprints, ok = FingerprintsFromWire(fingerprints); !ok || len(descriptions) != len(r.Descriptions) {
		return errors.Newf("quarantine: a report with %d fingerprints and %d descriptions, %d of 16 bytes are wanted", len(fingerprints), len(descriptions), len(r.Fingerprints))
	}
	copy(r.Descriptions[:], descriptions)
	return nil
}

// withReport returns the case updated with a report. follows states that the reported
// attempt began after the report of the last one that counted; otherwise it ran concurrently
// and counts no further attempt. The result is false if the report clears the request.
func (c Case) withReport(r *Report, scope Scope, follows bool, now time.Time) (Case, bool) {
	if r.Answered {
		return Case{}, false
	}
	if c.Description == "" {
		c.Description = r.Descriptions[scope]
	}
	c.LeafExits += r.LeafExits
	c.LastReport = now
	if follows {
		c.UnansweredAttempts++
		if r.LeafExits > 0 {
			c.CrashedAttempts++
		}
	}
	if c.hasEvidence(scope) && (c.CrashedAttempts >= blockAfterCrashes || c.UnansweredAttempts >= blockAfterAttempts) {
		c.Blocked = true
	}
	return c, true
}

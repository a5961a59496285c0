package test

import (
	"fmt"
	"testing"
	"time"

	"pearmoor/internal/standin"
)

const (
	// quarantineDelay is the time within which every daemon must learn that a request
	// crashes leaves. maxLateAttempts is how many attempts may reach leaves after that.
	knownWithin = 2 * time.Second
	mostRetries = 3
	crashDown   = 300 * time.Millisecond
)

// runsOfKey returns how often leaves of the desk began to run requests with a run key.
func (tr *tier) crashesOf(key string) int {
	n := 0
	for i := range deskServices {
		for shard := range uint32(3) {
			n += tr.fleet.Runs().Count(standin.RunKey{Request: key, Service: fmt.Sprintf("%s/search-%d", desk, i+1), Shard: shard})
		}
	}
	return n
}

// TestCrashingQueryIsQuarantined guards against a query that crashes every leaf that runs
// it and is sent repeatedly, to all daemons and to one that has just restarted. After three
// runs, it must stop reaching leaves.
func TestQueryThatCrashesLeavesStopsReachingThem(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 3})
	fatal := tr.query(desk)
	key := keyOf(fatal)
	tr.behave("", func(b *standin.Behavior) { b.CrashKey, b.CrashFor = key, standin.Duration(crashDown) })
	var third time.Time
	late := 0
	series := func(attempts int) {
		for n := range attempts {
			before := tr.crashesOf(key)
			tr.send(tr.entries[n%len(tr.entries)], fatal)
			time.Sleep(crashDown + crashDown/2)
			after := tr.crashesOf(key)
			switch {
			case third.IsZero() && after >= 3:
				third = time.Now()
			case !third.IsZero() && after > before && time.Since(third) > knownWithin:
				late++
			}
		}
	}
	series(10)
	tr.entries[0].kill()
	tr.entries[0].start()
	tr.awaitReady(tr.entries[0])
	series(6)
	t.Logf("%d runs; %d attempts reached leaves more than %v after the third run", tr.crashesOf(key), late, knownWithin)
	if late > mostRetries {
		t.Errorf("%d attempts reached leaves more than %v after the third run, want at most %d", late, knownWithin, mostRetries)
	}
	tr.awaitWhole()
}

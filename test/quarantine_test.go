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
	quarantineDelay  = 2 * time.Second
	maxLateAttempts  = 3
	leafRestartDelay = 300 * time.Millisecond
)

// runsOfKey returns how often leaves of the desk began to run requests with a run key.
func (tr *tier) runsOfKey(key string) int {
	n := 0
	for i := range deskServices {
		for shard := range uint32(3) {
			n += tr.fleet.Runs().Count(standin.RunKey{Request: key, Service: fmt.Sprintf("%s/search-%d", deskPath, i+1), Shard: shard})
		}
	}
	return n
}

// TestCrashingQueryIsQuarantined guards against a query that crashes every leaf that runs
// it and is sent repeatedly, to all daemons and to one that has just restarted. Once
// quarantineDelay has passed after the third run, at most maxLateAttempts attempts may reach
// leaves.
func TestCrashingQueryIsQuarantined(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 1, entries: 3})
	crashing := tr.newQuery(deskPath)
	key := runKeyOf(crashing)
	tr.updateBehavior("", func(b *standin.Behavior) { b.CrashKey, b.CrashFor = key, standin.Duration(leafRestartDelay) })
	var thirdRun time.Time
	lateAttempts := 0
	series := func(attempts int) {
		for n := range attempts {
			before := tr.runsOfKey(key)
			tr.send(tr.entries[n%len(tr.entries)], crashing)
			time.Sleep(leafRestartDelay + leafRestartDelay/2)
			after := tr.runsOfKey(key)
			switch {
			case thirdRun.IsZero() && after >= 3:
				thirdRun = time.Now()
			case !thirdRun.IsZero() && after > before && time.Since(thirdRun) > quarantineDelay:
				lateAttempts++
			}
		}
	}
	series(10)
	tr.entries[0].kill()
	tr.entries[0].start()
	tr.awaitReady(tr.entries[0])
	series(6)
	t.Logf("%d runs; %d attempts reached leaves more than %v after the third run", tr.runsOfKey(key), lateAttempts, quarantineDelay)
	if lateAttempts > maxLateAttempts {
		t.Errorf("%d attempts reached leaves more than %v after the third run, want at most %d", lateAttempts, quarantineDelay, maxLateAttempts)
	}
	tr.awaitFullCoverage()
}

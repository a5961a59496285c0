package query

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/query/session"
	"pearmoor/internal/settings"
)

// sendKeyed sends a non-repeatable request through a daemon.
func sendKeyed(tier *testTier, daemon, sess, key string) (*contract.Answer, *contract.Error) {
	repeatable := false
	r := &contract.Request{Path: "/desk/s0", Body: body(key), Repeatable: &repeatable, Key: key, Session: sess}
	a, err := tier.engine(daemon).Query(context.Background(), "r-"+daemon+key, r)
	var e *contract.Error
	if err != nil && !errors.As(err, &e) {
		e = &contract.Error{Reason: "untyped"}
	}
	return a, e
}

func runKeyedTest(t *testing.T, seed uint64, f func(tier *testTier) error) {
	t.Helper()
	if err := runInTier(t, seed, "", f); err != nil {
		t.Fatal(err)
	}
}

// The caller loses the reply and sends the key again, to the same daemon and to others. Each
// returns the first outcome, and the request runs once.
func TestResendReturnsFirstOutcome(t *testing.T) {
	runKeyedTest(t, 11, func(tier *testTier) error {
		sess := tier.engine("a").IssueSession()
		first, err := sendKeyed(tier, "a", sess, "k")
		if err != nil {
			return err
		}
		for _, d := range []string{"a", "b", "c"} {
			again, err := sendKeyed(tier, d, sess, "k")
			if err != nil {
				return errors.Wrap(err, d)
			}
			if len(again.Hits) != len(first.Hits) || again.RequestID != first.RequestID {
				return errors.Newf("daemon %s returned another outcome than the first", d)
			}
		}
		return tier.checkRanOnce("k")
	})
}

func (tier *testTier) checkRanOnce(key string) error {
	if total, most := tier.runCounts(key); most != 1 {
		return errors.Newf("key %s ran %d times, up to %d times at one shard, want 1", key, total, most)
	}
	return nil
}

// A resend that arrives while the first attempt is still running is refused as in progress
// with verdict may_have_run, and the request does not run a second time.
func TestResendWhileRunning(t *testing.T) {
	runKeyedTest(t, 12, func(tier *testTier) error {
		sess := tier.engine("a").IssueSession()
		done := make(chan *contract.Error, 1)
		go func() {
			_, err := sendKeyed(tier, "a", sess, "k")
			done <- err
		}()
		time.Sleep(3 * time.Millisecond)
		_, err := sendKeyed(tier, "b", sess, "k")
		if err == nil || err.Reason != contract.ReasonKeyInProgress || err.Verdict != contract.MayHaveRun {
			return errors.Newf("resend got %v, want key in progress, may have run", err)
		}
		if err := <-done; err != nil {
			return err
		}
		return tier.checkRanOnce("k")
	})
}

// The daemon that issued the session crashes after the request ran, and is restarted with the
// same name. Its key table is lost, so every daemon must answer a resend with key_in_doubt
// and may_have_run, before and after the restart, and none may run the request.
func TestResendAfterCrashIsInDoubt(t *testing.T) {
	runKeyedTest(t, 13, func(tier *testTier) error {
		sess := tier.engine("a").IssueSession()
		if _, err := sendKeyed(tier, "a", sess, "k"); err != nil {
			return err
		}
		tier.crash("a")
		if err := checkKeyInDoubt(tier, "b", sess); err != nil {
			return err
		}
		tier.restart("a")
		for _, d := range []string{"a", "b", "c"} {
			if err := checkKeyInDoubt(tier, d, sess); err != nil {
				return err
			}
		}
		return tier.checkRanOnce("k")
	})
}

func checkKeyInDoubt(tier *testTier, daemon, sess string) error {
	_, err := sendKeyed(tier, daemon, sess, "k")
	if err == nil || err.Reason != contract.ReasonKeyInDoubt || err.Verdict != contract.MayHaveRun {
		return errors.Newf("daemon %s returned %v, want key in doubt, may have run", daemon, err)
	}
	return nil
}

// The caller disconnects while its request is running. The run continues, so that a resend
// finds its outcome.
func TestCallerDisconnectKeepsOutcome(t *testing.T) {
	runKeyedTest(t, 14, func(tier *testTier) error {
		sess := tier.engine("a").IssueSession()
		repeatable := false
		r := &contract.Request{Path: "/desk/s0", Body: body("k"), Repeatable: &repeatable, Key: "k", Session: sess}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(2*time.Millisecond, cancel)
		_, _ = tier.engine("a").Query(ctx, "r", r)
		time.Sleep(time.Second)
		if _, err := sendKeyed(tier, "a", sess, "k"); err != nil {
			return err
		}
		return tier.checkRanOnce("k")
	})
}

// While the lease is expired and the settings tree is empty, a new key is refused with
// not_run and may be sent again later, but a key that ran before must still return its first
// outcome. A refusal would report a request as not run that did run.
func TestExecutedKeyIsNeverReportedNotRun(t *testing.T) {
	runKeyedTest(t, 15, func(tier *testTier) error {
		sess := tier.engine("a").IssueSession()
		if _, err := sendKeyed(tier, "a", sess, "old"); err != nil {
			return err
		}
		before := tier.view.Load()
		lapsed := *tier.view.Load()
		lapsed.LeaseEnd = fakeClock()
		lapsed.Tree = settings.New()
		tier.view.Store(&lapsed)
		if _, err := sendKeyed(tier, "a", sess, "old"); err != nil {
			return errors.Wrap(err, "resend of a key that ran")
		}
		if _, err := sendKeyed(tier, "a", sess, "new"); err == nil || err.Verdict != contract.NotRun {
			return errors.Newf("new key got %v, want not run", err)
		}
		tier.view.Store(before)
		if _, err := sendKeyed(tier, "a", sess, "new"); err != nil {
			return errors.Wrap(err, "resend of a key that was refused with not_run")
		}
		return tier.checkRanOnce("new")
	})
}

// After a session has expired, a new key is refused with not_run within the resend window.
// After the window every key is in doubt, because keys that ran have been removed from the
// table. Raising the resend-window setting does not extend the window of an issued session.
func TestExpiredSession(t *testing.T) {
	runKeyedTest(t, 16, func(tier *testTier) error {
		tierSettings := tier.view.Load().Tree.Tier()
		sess := tier.engine("a").IssueSession()
		if _, err := sendKeyed(tier, "a", sess, "ran"); err != nil {
			return err
		}
		time.Sleep(tierSettings.AddressLifetime + time.Second)
		if _, err := sendKeyed(tier, "a", sess, "new"); err == nil || err.Verdict != contract.NotRun {
			return errors.Newf("new key within the resend window got %v, want not run", err)
		}
		if _, err := sendKeyed(tier, "a", sess, "ran"); err != nil {
			return errors.Wrap(err, "resend within the resend window")
		}
		raised := *tier.view.Load()
		raised.Tree = mustApply(tier.view.Load().Tree, settings.Edit{Path: "/", Name: "resend-window", Value: "10m"})
		tier.view.Store(&raised)
		time.Sleep(tierSettings.ResendWindow)
		if err := checkKeyInDoubt(tier, "a", sess); err != nil {
			return err
		}
		if _, err := sendKeyed(tier, "a", sess, "ran"); err == nil || err.Reason != contract.ReasonKeyInDoubt {
			return errors.Newf("resend after the resend window got %v, want key in doubt", err)
		}
		return tier.checkRanOnce("ran")
	})
}

// A request that was begun while the caller's address list was valid may arrive just after the
// list has expired. It must not be refused because of its session.
func TestSessionAcceptsKeysAfterAddressListExpires(t *testing.T) {
	runKeyedTest(t, 18, func(tier *testTier) error {
		sess := tier.engine("a").IssueSession()
		time.Sleep(tier.view.Load().Tree.Tier().AddressLifetime + 100*time.Millisecond) // a request that took 100 ms to arrive
		if _, err := sendKeyed(tier, "a", sess, "k"); err != nil {
			return err
		}
		return tier.checkRanOnce("k")
	})
}

// A forged or malformed session is refused with not_run, since no daemon can have accepted a
// key under it.
func TestForgedSessionIsRefused(t *testing.T) {
	runKeyedTest(t, 17, func(tier *testTier) error {
		forged := session.NewIssuer(tier.engine("a").Self).Issue(fakeClock(), 1000*time.Hour, time.Hour)
		for _, sess := range []string{forged, "", "x", "AAAA"} {
			if _, err := sendKeyed(tier, "a", sess, "k"); err == nil || err.Verdict != contract.NotRun {
				return errors.Newf("session %q got %v, want not run", sess, err)
			}
		}
		if total, _ := tier.runCounts("k"); total != 0 {
			return errors.New("request with a forged session ran")
		}
		return nil
	})
}

// A full table refuses new keys and does not evict a key that ran, which could otherwise run
// twice.
func TestFullTableRefusesNewKeys(t *testing.T) {
	table := session.NewTable(session.Limits{Keys: 3, AnswerBytes: 100, TotalBytes: 200})
	ran := &contract.Answer{Verdict: contract.Ran}
	for i := range 3 {
		k := session.Key{Key: fmt.Sprint(i)}
		if s, _ := table.Begin(k, 1, 100, 0); s != session.New {
			t.Fatal(s)
		}
		table.Finish(k, session.Outcome{Answer: ran})
	}
	if s, _ := table.Begin(session.Key{Key: "x"}, 1, 100, 50); s != session.Full {
		t.Fatal("new key in a full table, state:", s)
	}
	if s, o := table.Begin(session.Key{Key: "0"}, 1, 100, 50); s != session.Done || o.Answer != ran {
		t.Fatal("key that ran was evicted, state:", s)
	}
	if s, _ := table.Begin(session.Key{Key: "0"}, 2, 100, 50); s != session.Mismatch {
		t.Fatal("key reused for another request, state:", s)
	}
	if s, _ := table.Begin(session.Key{Key: "x"}, 1, 200, 100); s != session.New {
		t.Fatal("key was not accepted after others expired, state:", s)
	}
	big := &contract.Answer{Verdict: contract.Ran, Hits: make([]contract.ServiceHit, 10)}
	table.Finish(session.Key{Key: "x"}, session.Outcome{Answer: big})
	if _, o := table.Begin(session.Key{Key: "x"}, 1, 200, 100); o.Err == nil || o.Err.Verdict != contract.Ran {
		t.Fatal("answer above the size limit was stored:", o)
	}
}

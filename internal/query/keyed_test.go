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
func charge(w *world, daemon, sess, key string) (*contract.Answer, *contract.Error) {
	no := false
	r := &contract.Request{Path: "/desk/s0", Body: body(key), Repeatable: &no, Key: key, Session: sess}
	a, err := w.engine(daemon).Query(context.Background(), "r-"+daemon+key, r)
	var e *contract.Error
	if err != nil && !errors.As(err, &e) {
		e = &contract.Error{Reason: "untyped"}
	}
	return a, e
}

func keyedTest(t *testing.T, seed uint64, f func(w *world) error) {
	t.Helper()
	if err := inWorld(t, seed, "", f); err != nil {
		t.Fatal(err)
	}
}

// The caller loses the reply and sends the key again, to the same daemon and to others. Each
// returns the first outcome, and the request runs once.
func TestResendGivesFirstOutcome(t *testing.T) {
	keyedTest(t, 11, func(w *world) error {
		sess := w.engine("a").IssueSession()
		first, err := charge(w, "a", sess, "k")
		if err != nil {
			return err
		}
		for _, d := range []string{"a", "b", "c"} {
			again, err := charge(w, d, sess, "k")
			if err != nil {
				return errors.Wrap(err, d)
			}
			if len(again.Hits) != len(first.Hits) || again.RequestID != first.RequestID {
				return errors.Newf("daemon %s returned another outcome than the first", d)
			}
		}
		return w.ranOnce("k")
	})
}

func (w *world) ranOnce(key string) error {
	if total, most := w.ran(key); most != 1 {
		return errors.Newf("key %s ran %d times, up to %d times at one shard, want 1", key, total, most)
	}
	return nil
}

// A resend that arrives while the first attempt is still running is refused as in progress
// with verdict may_have_run, and the request does not run a second time.
func TestResendWhileRunning(t *testing.T) {
	keyedTest(t, 12, func(w *world) error {
		sess := w.engine("a").IssueSession()
		done := make(chan *contract.Error, 1)
		go func() {
			_, err := charge(w, "a", sess, "k")
			done <- err
		}()
		time.Sleep(3 * time.Millisecond)
		_, err := charge(w, "b", sess, "k")
		if err == nil || err.Reason != contract.ReasonKeyInProgress || err.Verdict != contract.MayHaveRun {
			return errors.Newf("resend got %v, want key in progress, may have run", err)
		}
		if err := <-done; err != nil {
			return err
		}
		return w.ranOnce("k")
	})
}

// The daemon that issued the session crashes after the request ran, and is restarted with the
// same name. Its key table is lost, so every daemon must answer a resend with key_in_doubt
// and may_have_run, before and after the restart, and none may run the request.
func TestResendAfterCrashIsInDoubt(t *testing.T) {
	keyedTest(t, 13, func(w *world) error {
		sess := w.engine("a").IssueSession()
		if _, err := charge(w, "a", sess, "k"); err != nil {
			return err
		}
		w.crash("a")
		if err := inDoubtAt(w, "b", sess); err != nil {
			return err
		}
		w.restart("a")
		for _, d := range []string{"a", "b", "c"} {
			if err := inDoubtAt(w, d, sess); err != nil {
				return err
			}
		}
		return w.ranOnce("k")
	})
}

func inDoubtAt(w *world, daemon, sess string) error {
	_, err := charge(w, daemon, sess, "k")
	if err == nil || err.Reason != contract.ReasonKeyInDoubt || err.Verdict != contract.MayHaveRun {
		return errors.Newf("daemon %s returned %v, want key in doubt, may have run", daemon, err)
	}
	return nil
}

// The caller disconnects while its request is running. The run continues, so that a resend
// finds its outcome.
func TestHangUpLeavesAnOutcome(t *testing.T) {
	keyedTest(t, 14, func(w *world) error {
		sess := w.engine("a").IssueSession()
		no := false
		r := &contract.Request{Path: "/desk/s0", Body: body("k"), Repeatable: &no, Key: "k", Session: sess}
		ctx, hangUp := context.WithCancel(context.Background())
		time.AfterFunc(2*time.Millisecond, hangUp)
		_, _ = w.engine("a").Query(ctx, "r", r)
		time.Sleep(time.Second)
		if _, err := charge(w, "a", sess, "k"); err != nil {
			return err
		}
		return w.ranOnce("k")
	})
}

// While the lease is expired and the settings tree is empty, a new key is refused with
// not_run and may be sent again later, but a key that ran before must still return its first
// outcome. A refusal would report a request as not run that did run.
func TestWhatRanIsNeverSaidNotToHave(t *testing.T) {
	keyedTest(t, 15, func(w *world) error {
		sess := w.engine("a").IssueSession()
		if _, err := charge(w, "a", sess, "old"); err != nil {
			return err
		}
		before := w.view.Load()
		lapsed := *w.view.Load()
		lapsed.Lease = bubbleClock()
		lapsed.Tree = settings.New()
		w.view.Store(&lapsed)
		if _, err := charge(w, "a", sess, "old"); err != nil {
			return errors.Wrap(err, "resend of a key that ran")
		}
		if _, err := charge(w, "a", sess, "new"); err == nil || err.Verdict != contract.NotRun {
			return errors.Newf("new key got %v, want not run", err)
		}
		w.view.Store(before)
		if _, err := charge(w, "a", sess, "new"); err != nil {
			return errors.Wrap(err, "resend of a key that was refused with not_run")
		}
		return w.ranOnce("new")
	})
}

// After a session has expired, a new key is refused with not_run within the resend window.
// After the window every key is in doubt, because keys that ran have been removed from the
// table. Raising the resend-window setting does not extend the window of an issued session.
func TestSessionEnds(t *testing.T) {
	keyedTest(t, 16, func(w *world) error {
		tier := w.view.Load().Tree.Tier()
		sess := w.engine("a").IssueSession()
		if _, err := charge(w, "a", sess, "ran"); err != nil {
			return err
		}
		time.Sleep(tier.AddressLifetime + time.Second)
		if _, err := charge(w, "a", sess, "new"); err == nil || err.Verdict != contract.NotRun {
			return errors.Newf("new key within the resend window got %v, want not run", err)
		}
		if _, err := charge(w, "a", sess, "ran"); err != nil {
			return errors.Wrap(err, "resend within the resend window")
		}
		raised := *w.view.Load()
		raised.Tree = mustApply(w.view.Load().Tree, settings.Edit{Path: "/", Name: "resend-window", Value: "10m"})
		w.view.Store(&raised)
		time.Sleep(tier.ResendWindow)
		if err := inDoubtAt(w, "a", sess); err != nil {
			return err
		}
		if _, err := charge(w, "a", sess, "ran"); err == nil || err.Reason != contract.ReasonKeyInDoubt {
			return errors.Newf("resend after the resend window got %v, want key in doubt", err)
		}
		return w.ranOnce("ran")
	})
}

// A request that was begun while the caller's address list was valid may arrive just after the
// list has expired. It must not be refused because of its session.
func TestSessionOutlastsItsList(t *testing.T) {
	keyedTest(t, 18, func(w *world) error {
		sess := w.engine("a").IssueSession()
		time.Sleep(w.view.Load().Tree.Tier().AddressLifetime + 100*time.Millisecond) // a request that took 100 ms to arrive
		if _, err := charge(w, "a", sess, "k"); err != nil {
			return err
		}
		return w.ranOnce("k")
	})
}

// A forged or malformed session is refused with not_run, since no daemon can have accepted a
// key under it.
func TestForgedSessionIsRefused(t *testing.T) {
	keyedTest(t, 17, func(w *world) error {
		forged := session.NewIssuer(w.engine("a").Self).Issue(bubbleClock(), 1000*time.Hour, time.Hour)
		for _, sess := range []string{forged, "", "x", "AAAA"} {
			if _, err := charge(w, "a", sess, "k"); err == nil || err.Verdict != contract.NotRun {
				return errors.Newf("session %q got %v, want not run", sess, err)
			}
		}
		if total, _ := w.ran("k"); total != 0 {
			return errors.New("request with a forged session ran")
		}
		return nil
	})
}

// A full table refuses new keys and does not evict a key that ran, which could otherwise run
// twice.
func TestFullTableRefuses(t *testing.T) {
	tab := session.NewTable(session.Limits{Keys: 3, AnswerBytes: 100, TotalBytes: 200})
	ran := &contract.Answer{Verdict: contract.Ran}
	for i := range 3 {
		k := session.Key{Key: fmt.Sprint(i)}
		if s, _ := tab.Begin(k, 1, 100, 0); s != session.New {
			t.Fatal(s)
		}
		tab.Finish(k, session.Outcome{Answer: ran})
	}
	if s, _ := tab.Begin(session.Key{Key: "x"}, 1, 100, 50); s != session.Full {
		t.Fatal("new key in a full table, state:", s)
	}
	if s, o := tab.Begin(session.Key{Key: "0"}, 1, 100, 50); s != session.Done || o.Answer != ran {
		t.Fatal("key that ran was evicted, state:", s)
	}
	if s, _ := tab.Begin(session.Key{Key: "0"}, 2, 100, 50); s != session.Mismatch {
		t.Fatal("key reused for another request, state:", s)
	}
	if s, _ := tab.Begin(session.Key{Key: "x"}, 1, 200, 100); s != session.New {
		t.Fatal("key was not accepted after others expired, state:", s)
	}
	big := &contract.Answer{Verdict: contract.Ran, Hits: make([]contract.ServiceHit, 10)}
	tab.Finish(session.Key{Key: "x"}, session.Outcome{Answer: big})
	if _, o := tab.Begin(session.Key{Key: "x"}, 1, 200, 100); o.Err == nil || o.Err.Verdict != contract.Ran {
		t.Fatal("answer above the size limit was stored:", o)
	}
}

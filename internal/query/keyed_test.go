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

// charge sends a request that is not repeatable through a daemon.
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

// The caller loses the reply and sends the key again, to the same daemon and to
// another one: both give the first outcome, and the fee is charged once.
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
				return errors.Newf("%s gave another outcome", d)
			}
		}
		return w.ranOnce("k")
	})
}

func (w *world) ranOnce(key string) error {
	if total, most := w.ran(key); most != 1 {
		return errors.Newf("key %s ran %d times, %d at one shard", key, total, most)
	}
	return nil
}

// The caller resends while the first attempt still runs: it is told so, with
// verdict may_have_run, and nothing runs a second time.
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
			return errors.Newf("got %v", err)
		}
		if err := <-done; err != nil {
			return err
		}
		return w.ranOnce("k")
	})
}

// The caller's daemon crashes, right after or long after the request ran, and
// starts again with the same name. Whoever is asked says key_in_doubt with verdict
// may_have_run, and nobody runs it: the memory of what ran is gone.
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
		return errors.Newf("%s said %v", daemon, err)
	}
	return nil
}

// The caller hangs up and the request runs on: its resend finds the outcome.
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

// The caller is told not_run of a first send while the lease is out, and may send
// the key again; of a key that ran before, the first outcome is told whatever has
// become of the lease, the path or the limits since.
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
			return errors.Wrap(err, "resend")
		}
		if _, err := charge(w, "a", sess, "new"); err == nil || err.Verdict != contract.NotRun {
			return errors.Newf("a new key got %v", err)
		}
		w.view.Store(before)
		if _, err := charge(w, "a", sess, "new"); err != nil {
			return errors.Wrap(err, "the same key after not_run")
		}
		return w.ranOnce("new")
	})
}

// The caller sends after its session has ended: a key that has not run is refused
// as not_run within the resend window, and is in doubt after it, when a key that
// ran would have been forgotten too. Raising resend-window changes neither.
func TestSessionEnds(t *testing.T) {
	keyedTest(t, 16, func(w *world) error {
		tier := w.view.Load().Tree.Tier()
		sess := w.engine("a").IssueSession()
		if _, err := charge(w, "a", sess, "ran"); err != nil {
			return err
		}
		time.Sleep(tier.AddressLifetime + time.Second)
		if _, err := charge(w, "a", sess, "new"); err == nil || err.Verdict != contract.NotRun {
			return errors.Newf("within the window: %v", err)
		}
		if _, err := charge(w, "a", sess, "ran"); err != nil {
			return errors.Wrap(err, "a key that ran")
		}
		raised := *w.view.Load()
		raised.Tree = mustApply(w.view.Load().Tree, settings.Edit{Path: "/", Name: "resend-window", Value: "10m"})
		w.view.Store(&raised)
		time.Sleep(tier.ResendWindow)
		if err := inDoubtAt(w, "a", sess); err != nil {
			return err
		}
		if _, err := charge(w, "a", sess, "ran"); err == nil || err.Reason != contract.ReasonKeyInDoubt {
			return errors.Newf("a forgotten key got %v", err)
		}
		return w.ranOnce("ran")
	})
}

// Guards against a request refused for its session though it was begun while its address list was valid.
func TestSessionOutlastsItsList(t *testing.T) {
	keyedTest(t, 18, func(w *world) error {
		sess := w.engine("a").IssueSession()
		time.Sleep(w.view.Load().Tree.Tier().AddressLifetime + 100*time.Millisecond) // begun before, on its way since
		if _, err := charge(w, "a", sess, "k"); err != nil {
			return err
		}
		return w.ranOnce("k")
	})
}

// The caller makes up a session, or changes one: it is refused as not_run, since
// no run of a daemon can have taken a key under it.
func TestForgedSessionIsRefused(t *testing.T) {
	keyedTest(t, 17, func(w *world) error {
		forged := session.NewIssuer(w.engine("a").Self).Issue(bubbleClock(), 1000*time.Hour, time.Hour)
		for _, sess := range []string{forged, "", "x", "AAAA"} {
			if _, err := charge(w, "a", sess, "k"); err == nil || err.Verdict != contract.NotRun {
				return errors.Newf("session %q got %v", sess, err)
			}
		}
		if total, _ := w.ran("k"); total != 0 {
			return errors.New("it ran")
		}
		return nil
	})
}

// The caller is told not_run when no more keys can be remembered, and a key that
// ran is still known: forgetting one to make room could let it run twice.
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
		t.Fatal("not full:", s)
	}
	if s, o := tab.Begin(session.Key{Key: "0"}, 1, 100, 50); s != session.Done || o.Answer != ran {
		t.Fatal("forgotten:", s)
	}
	if s, _ := tab.Begin(session.Key{Key: "0"}, 2, 100, 50); s != session.Mismatch {
		t.Fatal("another request:", s)
	}
	if s, _ := tab.Begin(session.Key{Key: "x"}, 1, 200, 100); s != session.New {
		t.Fatal("not expired:", s)
	}
	big := &contract.Answer{Verdict: contract.Ran, Hits: make([]contract.ServiceHit, 10)}
	tab.Finish(session.Key{Key: "x"}, session.Outcome{Answer: big})
	if _, o := tab.Begin(session.Key{Key: "x"}, 1, 200, 100); o.Err == nil || o.Err.Verdict != contract.Ran {
		t.Fatal("a large answer is kept:", o)
	}
}

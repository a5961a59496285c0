package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestShutdownSchedule(t *testing.T) {
	s := Shutdown{GracePeriod: 6 * time.Second}
	for _, c := range []struct {
		name             string
		elapsed, longest time.Duration
		want             bool
	}{
		{"long request, early", 2 * time.Second, 8 * time.Second, true},
		{"long request, late", 3 * time.Second, 8 * time.Second, false},
		{"request that ends in time", 3 * time.Second, 2 * time.Second, true},
		{"request that may end too late", 3500 * time.Millisecond, 2 * time.Second, false},
		{"short request, late", 4 * time.Second, time.Second, true},
	} {
		if got := s.Admits(c.elapsed, c.longest); got != c.want {
			t.Errorf("%s: admitted %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a late request whose answer is still being sent when the process ends.
func TestShutdownAdmitsNoRequestThatOutlivesIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shutdown{GracePeriod: time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Minute)).Draw(t, "grace"))}
		elapsed := time.Duration(rapid.Int64Range(int64(s.GracePeriod)/2, int64(time.Minute)).Draw(t, "elapsed"))
		longest := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "longest"))
		if s.Admits(elapsed, longest) && elapsed+longest > s.FinalAnswersAt() {
			t.Fatalf("admitted a request that may end at %v, final answers are sent at %v", elapsed+longest, s.FinalAnswersAt())
		}
		if s.AcceptUntil() > s.FinishAt() || s.FinishAt() > s.ExitAt() || s.ExitAt() > s.GracePeriod {
			t.Fatal("the times are out of order")
		}
	})
}

package target

import (
	"testing"
	"time"
)

// Guards against an idle connection that counts as closed because the deadline of its previous
// exchange has passed.
func TestIdleConnectionOutlivesDeadlineOfItsExchange(t *testing.T) {
	addr, conns := newSlowLeaf(t, time.Millisecond)
	l := NewLink("leaf", addr, 2)
	defer l.Close()
	for range 3 {
		if _, err := l.Do(&Call{}, newRequest(50*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50*time.Millisecond + ReplyGrace + 20*time.Millisecond)
	}
	if n := conns(); n != 1 {
		t.Errorf("%d connections for three requests in turn, want 1", n)
	}
}

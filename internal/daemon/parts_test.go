package daemon

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// Guards against a daemon that stays ready, and that control still lists, when one of its parts
// has failed.
func TestDaemonLeavesWhenAPartFails(t *testing.T) {
	t.Parallel()
	for name, listener := range map[string]func(*Daemon) net.Listener{
		"callers":   func(d *Daemon) net.Listener { return d.listeners.caller },
		"peers":     func(d *Daemon) net.Listener { return d.listeners.peer },
		"operators": func(d *Daemon) net.Listener { return d.listeners.operator },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conf := validConfig()
			conf.Name, conf.ServeCallers, conf.ControlID, conf.Bootstrap, conf.DataDir = "control-1", false, 1, true, t.TempDir()
			control, controlEnded := startDaemon(t, conf)
			conf = validConfig()
			conf.ControlAddrs = []string{control.self.PeerAddr}
			entry, ended := startDaemon(t, conf)
			waitFor(t, "the daemon is ready", func() bool { ready, _ := entry.ready(); return ready })
			_ = listener(entry).Close()
			waitFor(t, "the daemon is not ready", func() bool { ready, _ := entry.ready(); return !ready })
			if phase := entry.lifecycle.get(); phase != phaseDraining {
				t.Errorf("the daemon is %v, want %v", phase, phaseDraining)
			}
			select {
			case err := <-ended:
				if !errors.Is(err, net.ErrClosed) {
					t.Errorf("Run returned %v", err)
				}
			case <-time.After(failureDrain.total() + failureStopTimeout):
				t.Fatal("Run has not returned")
			}
			if !isGone(entry.client.Current(), entry.self) {
				t.Error("control still lists the daemon")
			}
			select {
			case err := <-controlEnded:
				t.Errorf("the control VM ended: %v", err)
			default:
			}
		})
	}
}

func startDaemon(t *testing.T, conf Config) (*Daemon, <-chan error) {
	t.Helper()
	d, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	stop, cancel := context.WithCancel(context.Background())
	ended, stopped := make(chan error, 1), make(chan struct{})
	go func() {
		defer close(stopped)
		ended <- d.Run(stop, stop)
	}()
	t.Cleanup(func() { cancel(); <-stopped })
	return d, ended
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

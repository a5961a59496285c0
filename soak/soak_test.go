package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pearmoor/platform/standin"
)

var (
	seeds    = flag.String("seeds", "1", "seeds of the runs, separated by spaces; 1 if empty")
	duration = flag.Duration("faults-for", 10*time.Second, "how long faults are injected in each run")
	keepLogs = flag.String("logs", "", "directory for the logs of failed runs")
)

// regressions are seeds of runs that failed in the past, each with the fault found. They run
// in addition to the seeds of TestSoak.
var regressions = []uint64{
	60, // A graceful stop cut off requests that a leaf had not answered.
	// A leaf briefly had 36 connections, with a limit of 28, after its link had held all data
	// for 1.9 s. A daemon that timed out a request on a silent link freed the connection slot
	// immediately, so the close and the new connection reached the leaf at the same time when
	// the link recovered.
	203,
}

// openFindings are seeds whose failures are not fixed yet, each with the fault found.
var findings = []uint64{}

// TestOpenFindings runs the seeds of openFindings.
func TestOpenFindings(t *testing.T) {
	for _, seed := range findings {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

func TestSoak(t *testing.T) {
	list := *seeds
	if list == "" {
		list = "1"
	}
	for _, field := range strings.Fields(list) {
		seed, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			t.Fatalf("seed %q is not a number", field)
		}
		t.Run(field, func(t *testing.T) { soak(t, seed) })
	}
}

func TestRegressions(t *testing.T) {
	for _, seed := range regressions {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
}

// runSoak starts a tier, injects faults, ends them and checks that the tier has recovered.
func soak(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	defer w.close()
	for _, s := range allServices() {
		for range 2 {
			w.startLeaf(s)
		}
	}
	for _, v := range w.vms {
		v.start()
	}
	number, text := w.ops.next(w.rng)
	first, cancelFirst := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancelFirst()
	if !w.put(first, w.rng, number, text) {
		w.report(t, seed)
		t.Fatal("the first configuration was not acknowledged within 30 s")
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	w.runCallers(ctx, &wg)
	w.runOperators(ctx, &wg)
	wg.Go(func() {
		w.runFatal(ctx, &caller{w: w, rng: rand.New(rand.NewPCG(seed, 9)), client: &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}})
	})
	time.Sleep(time.Second)
	beside, cancelBeside := context.WithCancel(ctx)
	var others sync.WaitGroup
	for i, play := range []func(context.Context, *rand.Rand){w.growAndShrink, w.disturbDisks, w.resetInSeries, w.loseControl} {
		others.Go(func() { play(beside, rand.New(rand.NewPCG(seed, uint64(2+i)))) })
	}
	w.faults(*duration)
	cancelBeside()
	others.Wait()
	w.heal()
	cancel()
	wg.Wait()
	w.longOverNarrowLinks()
	time.Sleep(settleTime + 100*time.Millisecond)
	w.checkFatal()
	w.checkWell()
	w.report(t, seed)
}

// endFaults ends the remaining faults and gives the tier 5 s to recover.
func (w *world) heal() {
	w.listFails.Store(false)
	w.mu.Lock()
	for _, l := range w.leaves {
		l.mode.Store(int32(well))
	}
	w.mu.Unlock()
	time.Sleep(5 * time.Second)
	w.leaveInCalm()
}

// drainWithoutFaults makes one leaf of each service leave while there are no other faults.
// During the faults there is rarely a time when every daemon must know of a leaving leaf, so
// checkNoRequestsAfterDrain would rarely apply.
func (w *world) leaveInCalm() {
	var leaving []*leaf
	for _, s := range allServices() {
		if l := w.readyLeaf(s); l != nil {
			l.drain()
			w.startLeaf(s)
			leaving = append(leaving, l)
		}
	}
	time.Sleep(drainTime + 2*time.Second)
	for _, l := range leaving {
		w.drop(l)
	}
}

func (w *world) readyLeaf(service string) *leaf {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.leaves {
		if l.service == service && l.state() == standin.Ready {
			return l
		}
	}
	return nil
}

// checkRecovered checks that every VM serves queries again and that the newest acknowledged
// configuration can be read.
func (w *world) checkWell() {
	c := &caller{w: w, rng: w.rng, client: &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}}
	defer c.client.CloseIdleConnections()
	for _, v := range w.vms {
		for range 5 {
			id := c.newID()
			resp, text, err := c.send(v.addr(w.ports.callers), http.MethodGet, "/search/"+id, "", id)
			if err != nil || resp.StatusCode != http.StatusOK {
				w.fail("%s does not serve after the faults have ended: %v %v %q", v.name, err, resp, text)
			}
		}
	}
	want := w.ops.newestAcked(time.Now())
	for range 20 {
		if got, ok := w.readBack(w.rng); ok {
			if got < want {
				w.fail("read configuration %d at the end although %d was acknowledged", got, want)
			}
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.fail("no VM returned the configuration")
}

// report logs a summary of the run, fails the test with the recorded failures, and keeps
// the logs of a failed run if -logs is set.
func (w *world) report(t *testing.T, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.Logf("seed %d: answers by status %v, %d configurations acknowledged", seed, w.served, len(w.ops.acks))
	for _, f := range w.failures {
		t.Error(f)
	}
	if len(w.failures) == 0 || *keepLogs == "" {
		return
	}
	for _, v := range w.vms {
		text, err := os.ReadFile(w.dir + "/" + v.name + ".log")
		if err == nil {
			err = os.WriteFile(fmt.Sprintf("%s/seed-%d-%s.log", *keepLogs, seed, v.name), text, 0o600)
		}
		if err != nil {
			t.Logf("saving the log of %s: %v", v.name, err)
		}
	}
}

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
	seeds    = flag.String("seeds", "1", "seeds of the runs, separated by spaces; empty: 1")
	duration = flag.Duration("faults-for", 10*time.Second, "how long faults last in each run")
	keepLogs = flag.String("logs", "", "folder for the logs of runs that failed")
)

// regressions are seeds that once failed, each with what was found. They run with the
// short run.
var regressions = []uint64{
	60, // requests that a leaf never answered were cut off at the end of a planned stop
	// For an instant a leaf behind a link that had held everything for 1.9 s had 36
	// connections, 28 are its limit. A daemon that gave up a request on a silent link gave
	// its place back at once, and what it closed and what it opened since came to the leaf
	// together when the link was well again.
	203,
}

// findings are seeds that failed and are not mended yet, each with what was found.
var findings = []uint64{}

// TestOpenFindings plays the seeds of open findings as they were.
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
			t.Fatalf("seed %q is no number", field)
		}
		t.Run(field, func(t *testing.T) { soak(t, seed) })
	}
}

func TestRegressions(t *testing.T) {
	for _, seed := range regressions {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
}

// soak is one run: a tier starts, faults come, all heals, and everything must be well.
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
		t.Fatal("the first configuration is not acknowledged")
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

// heal ends what still goes on and lets the tier settle.
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

// leaveInCalm lets a leaf of each service leave while nothing else happens. Among the
// faults there is hardly a moment in which every daemon must have heard of it.
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

// checkWell holds that everything is served again, and that what was acknowledged is
// there.
func (w *world) checkWell() {
	c := &caller{w: w, rng: w.rng, client: &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}}
	defer c.client.CloseIdleConnections()
	for _, v := range w.vms {
		for range 5 {
			id := c.newID()
			resp, text, err := c.send(v.addr(w.ports.callers), http.MethodGet, "/search/"+id, "", id)
			if err != nil || resp.StatusCode != http.StatusOK {
				w.fail("%s does not serve after all has healed: %v %v %q", v.name, err, resp, text)
			}
		}
	}
	want := w.ops.newestAcked(time.Now())
	for range 20 {
		if got, ok := w.readBack(w.rng); ok {
			if got < want {
				w.fail("configuration %d is read at the end, %d was acknowledged", got, want)
			}
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.fail("no VM gives the configuration back")
}

// report prints the run and fails the test with what was found.
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
			t.Logf("log of %s is not kept: %v", v.name, err)
		}
	}
}

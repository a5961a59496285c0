package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// buildEntry builds pearmoor-entry in dir and returns its path.
func buildEntry(dir string) string {
	bin := filepath.Join(dir, "pearmoor-entry")
	out, err := exec.Command("go", "build", "-o", bin, "../../cmd/pearmoor-entry").CombinedOutput()
	So(string(out), ShouldBeEmpty)
	So(err, ShouldBeNil)
	return bin
}

// A short run without injected faults must end without a wrong answer and must write the
// report and all plots.
func TestShortRun(t *testing.T) {
	Convey("Given a built pearmoor-entry and an empty folder", t, func() {
		dir := t.TempDir()
		bin := buildEntry(dir)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		s := options{
			bin: bin, vms: 3, shards: 4, copies: 2, rate: 20, duration: 3 * time.Second, seed: 1,
			faults: "none", out: filepath.Join(dir, "out"),
		}
		So(runLoadTest(ctx, s), ShouldBeNil)
		for _, name := range []string{"forward.json", "wide.svg", "quick.svg", "single.svg", "leaves.svg"} {
			info, err := os.Stat(filepath.Join(s.out, name))
			So(err, ShouldBeNil)
			So(info.Size(), ShouldBeGreaterThan, 100)
		}
	})
}

// Guards against requests that reach an evacuated failure domain, and against cold leaves that
// get more than they bear, in a run with real processes.
func TestRunWithEvacuation(t *testing.T) {
	Convey("Given a built pearmoor-entry", t, func() {
		dir := t.TempDir()
		bin := buildEntry(dir)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		r := &run{options: options{bin: bin, vms: 3, shards: 4, copies: 3, rate: 60, duration: 12 * time.Second, seed: 1, faults: "evacuation"}}
		defer r.close()
		So(r.start(ctx, dir), ShouldBeNil)
		So(r.generateLoad(ctx), ShouldBeNil)
		rep := r.report()
		So(rep.WrongAnswers, ShouldBeEmpty)
		So(rep.Evacuation.AckMS, ShouldBeGreaterThan, 0)
		So(rep.Evacuation.LastRequestMS, ShouldBeLessThan, 5000) // within which an order must be in force
		So(rep.Evacuation.MostColdRequests, ShouldBeLessThanOrEqualTo, int(warmUpRate*1.5+5))
	})
}

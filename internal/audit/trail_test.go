package audit

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/link/wire"
)

func record(v uint64) *wire.AuditRecord {
	return &wire.AuditRecord{Version: v, Operator: "asha", Reason: fmt.Sprint("reason ", v)}
}

func versions(rs []*wire.AuditRecord) []uint64 {
	var out []uint64
	for _, r := range rs {
		out = append(out, r.Version)
	}
	return out
}

// A restarted control VM applies the end of its log again and appends records that the
// trail already has. Each record must be stored once.
func TestTrailIgnoresRecordsReappliedAfterRestart(t *testing.T) {
	Convey("Records appended again after a restart are ignored, and all are read back", t, func() {
		dir := t.TempDir()
		for _, from := range []uint64{1, 41, 61} {
			trail, err := Open(dir, nil, 0)
			So(err, ShouldBeNil)
			for v := max(from, 11) - 10; v < from+50; v++ {
				trail.Append(record(v))
				if v%7 == 0 {
					So(trail.Flush(), ShouldBeNil)
				}
			}
			So(trail.Close(), ShouldBeNil)
		}
		trail, err := Open(dir, nil, 0)
		So(err, ShouldBeNil)
		So(trail.Last(), ShouldEqual, 110)
		all, err := trail.Read(1, 1000)
		So(err, ShouldBeNil)
		So(len(all), ShouldEqual, 110)
		some, err := trail.Read(55, 3)
		So(err, ShouldBeNil)
		So(versions(some), ShouldResemble, []uint64{55, 56, 57})
		So(trail.Close(), ShouldBeNil)
	})

	Convey("Records are read from many segment files", t, func() {
		trail, err := Open(t.TempDir(), nil, 0)
		So(err, ShouldBeNil)
		long := make([]byte, 1<<20)
		for v := uint64(1); v <= 20; v++ {
			r := record(v)
			r.Reason = string(long)
			trail.Append(r)
			So(trail.Flush(), ShouldBeNil)
		}
		So(len(trail.segments), ShouldBeGreaterThan, 3)
		for v := uint64(1); v <= 20; v++ {
			got, err := trail.Read(v, 1)
			So(err, ShouldBeNil)
			So(versions(got), ShouldResemble, []uint64{v})
		}
		So(trail.Close(), ShouldBeNil)
	})
}

// A trail that fills the disk stops all further changes. It must stay within its limit
// and keep the newest records, also after restarts.
func TestTrailStaysWithinSizeLimit(t *testing.T) {
	const limit = 40 << 10
	Convey("A bounded trail drops its oldest records and keeps the newest", t, func() {
		dir := t.TempDir()
		last := uint64(0)
		for range 3 {
			trail, err := Open(dir, nil, limit)
			So(err, ShouldBeNil)
			So(trail.Last(), ShouldEqual, last)
			for range 500 {
				last++
				r := record(last)
				r.Reason = strings.Repeat("x", 200)
				trail.Append(r)
				So(trail.Flush(), ShouldBeNil)
			}
			got, err := trail.Read(1, 10_000)
			So(err, ShouldBeNil)
			So(len(got), ShouldBeBetween, 100, 200)
			So(got[len(got)-1].Version, ShouldEqual, last)
			So(got[0].Version, ShouldEqual, last-uint64(len(got))+1)
			So(trail.Close(), ShouldBeNil)
			files, err := os.ReadDir(dir)
			So(err, ShouldBeNil)
			size := int64(0)
			for _, f := range files {
				info, err := f.Info()
				So(err, ShouldBeNil)
				size += info.Size()
			}
			So(size, ShouldBeLessThanOrEqualTo, limit)
		}
	})
}

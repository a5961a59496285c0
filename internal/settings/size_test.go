package settings

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// leafListEdits returns edits that declare the given number of query services with the
// given number of leaves each.
func leafListEdits(services, leaves int) []Edit {
	edits := make([]Edit, 0, services+1)
	edits = append(edits, Edit{Path: "region", Name: "priority", Value: "urgent"})
	for s := range services {
		items := make([]string, leaves)
		for l := range items {
			n := s*leaves + l
			items[l] = fmt.Sprintf("leaf-%05d=10.%d.%d.%d:8080@domain-%02d", n, n>>16, n>>8&255, n&255, n%17)
		}
		edits = append(edits, Edit{Path: fmt.Sprintf("region/desk/service-%05d", s), Name: "leaves", Value: strings.Join(items, ",")})
	}
	return edits
}

// treeShapes are two trees with 23,000 leaves, and smaller ones that show how the cost
// grows with the size.
var treeShapes = []struct{ services, leaves int }{{6, 470}, {12, 470}, {24, 470}, {49, 470}, {11500, 2}}

// benchmarkShapes runs a benchmark on a tree of each shape.
func benchmarkShapes(b *testing.B, run func(b *testing.B, t *Tree)) {
	for _, shape := range treeShapes {
		b.Run(fmt.Sprintf("services=%d/leaves=%d", shape.services, shape.services*shape.leaves), func(b *testing.B) {
			t := mustApply(b, New(), 1, leafListEdits(shape.services, shape.leaves)...)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, t)
		})
	}
}

func BenchmarkApplySettingOfOneService(b *testing.B) {
	values := []string{"10ms", "20ms"}
	benchmarkShapes(b, func(b *testing.B, t *Tree) {
		for i := range b.N {
			t = mustApply(b, t, uint64(i), Edit{Path: "region/desk/service-00001", Name: "hedge-after", Value: values[i%2]})
		}
	})
}

func BenchmarkApplySettingAtRoot(b *testing.B) {
	values := []string{"10ms", "20ms"}
	benchmarkShapes(b, func(b *testing.B, t *Tree) {
		for i := range b.N {
			t = mustApply(b, t, uint64(i), Edit{Path: "/", Name: "hedge-after", Value: values[i%2]})
		}
	})
}

// BenchmarkApplyLeafList replaces the leaf list of one service. Apply checks the names and
// addresses against all leaves of the tree.
func BenchmarkApplyLeafList(b *testing.B) {
	benchmarkShapes(b, func(b *testing.B, t *Tree) {
		e, _ := t.Effective("region/desk/service-00001")
		values := []string{FormatLeaves(e.Leaves[1:]), FormatLeaves(e.Leaves)}
		for i := range b.N {
			t = mustApply(b, t, uint64(i), Edit{Path: "region/desk/service-00001", Name: "leaves", Value: values[i%2]})
		}
	})
}

func BenchmarkReplayLeafList(b *testing.B) {
	benchmarkShapes(b, func(b *testing.B, t *Tree) {
		e, _ := t.Effective("region/desk/service-00001")
		values := []string{FormatLeaves(e.Leaves[1:]), FormatLeaves(e.Leaves)}
		for i := range b.N {
			t = t.Replay(uint64(i), []Edit{{Path: "region/desk/service-00001", Name: "leaves", Value: values[i%2]}})
		}
	})
}

func BenchmarkEffective(b *testing.B) {
	benchmarkShapes(b, func(b *testing.B, t *Tree) {
		for range b.N {
			if _, ok := t.Effective("region/desk/service-00003"); !ok {
				b.Fatal("the service does not exist")
			}
		}
	})
}

func BenchmarkServices(b *testing.B) {
	benchmarkShapes(b, func(b *testing.B, t *Tree) {
		for range b.N {
			if len(t.Services("region/desk")) == 0 {
				b.Fatal("the services do not exist")
			}
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	benchmarkShapes(b, func(b *testing.B, t *Tree) {
		var n int
		for range b.N {
			n = len(t.Encode())
		}
		b.ReportMetric(float64(n), "bytes")
	})
}

func BenchmarkDecode(b *testing.B) {
	benchmarkShapes(b, func(b *testing.B, t *Tree) {
		encoded := t.Encode()
		b.ResetTimer()
		for range b.N {
			if _, err := Decode(encoded); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkParseFile(b *testing.B) {
	benchmarkShapes(b, func(b *testing.B, t *Tree) {
		text := t.ExportFile()
		b.ResetTimer()
		for range b.N {
			if _, err := ParseFile(text); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkPlanAtRoot(b *testing.B) {
	benchmarkShapes(b, func(b *testing.B, t *Tree) {
		next := mustApply(b, t, 2, Edit{Path: "/", Name: "hedge-after", Value: "10ms"})
		b.ResetTimer()
		for range b.N {
			if len(Plan(t, next)) == 0 {
				b.Fatal("the plan is empty")
			}
		}
	})
}

func BenchmarkDiffOneSetting(b *testing.B) {
	benchmarkShapes(b, func(b *testing.B, t *Tree) {
		next := mustApply(b, t, 2, Edit{Path: "region/desk/service-00001", Name: "hedge-after", Value: "10ms"})
		b.ResetTimer()
		for range b.N {
			if len(Diff(t, next)) != 1 {
				b.Fatal("the difference is not exactly one edit")
			}
		}
	})
}

// BenchmarkTreeMemory reports the heap memory of a decoded tree.
func BenchmarkTreeMemory(b *testing.B) {
	benchmarkShapes(b, func(b *testing.B, t *Tree) {
		encoded := t.Encode()
		var before, after runtime.MemStats
		for range b.N {
			runtime.GC()
			runtime.ReadMemStats(&before)
			got, err := Decode(encoded)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(got)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "resident-bytes")
	})
}

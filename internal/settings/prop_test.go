package settings

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var somePaths = []string{"/", "r", "r/d1", "r/d1/a", "r/d1/b", "r/d2", "r/d2/c", "q"}

// drawValue draws a text for a setting; most are valid on their own.
func drawValue(t *rapid.T, path string, s *Setting) string {
	switch s.Kind {
	case Duration:
		return rapid.SampledFrom([]string{"0s", "5ms", "0.02s", "200ms", "1s", "1000ms", "3s", "2m", "7", "x"}).Draw(t, "duration")
	case Ratio:
		return rapid.SampledFrom([]string{"0", "0.03", ".5", "1", "1.5", "3%"}).Draw(t, "ratio")
	case Bytes:
		return rapid.SampledFrom([]string{"1KiB", "2048B", "3MiB", "1000", "1B"}).Draw(t, "bytes")
	case Bool:
		return rapid.SampledFrom([]string{"true", "false", "yes"}).Draw(t, "bool")
	case Choice:
		return rapid.SampledFrom(append(slices.Clone(s.Choices), "other")).Draw(t, "choice")
	case LeafList, NameList:
		return drawLeaves(t, path, s.Kind)
	case Text:
		return rapid.SampledFrom([]string{"a", "007", "1e3", "null", "~", "yes", "a: b", "#x", "/p/é?", `{"k":[1,"2"]}`, "- a", "a\nb", " "}).Draw(t, "text")
	}
	return rapid.SampledFrom([]string{"0", "1", "2", "007", "40", "-1"}).Draw(t, "count")
}

func drawLeaves(t *rapid.T, path string, kind Kind) string {
	at := slices.Index(somePaths, path)
	var items []string
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(1, 5), 1, 4, rapid.ID[int]).Draw(t, "leaves") {
		name := fmt.Sprintf("l%d-%d", at, n)
		if kind == LeafList {
			name += fmt.Sprintf("=10.0.%d.%d:80@hall-%d", at, n, n%2)
		}
		items = append(items, name)
	}
	return strings.Join(items, ", ")
}

func drawEdit(t *rapid.T) Edit {
	path := rapid.SampledFrom(somePaths).Draw(t, "path")
	switch op := rapid.SampledFrom([]Op{Set, Set, Set, Set, Unset, Remove}).Draw(t, "op"); op {
	case Remove:
		return Edit{Path: path, Op: Remove}
	default:
		s := &current.settings[rapid.IntRange(0, len(current.settings)-1).Draw(t, "setting")]
		e := Edit{Path: path, Name: s.Name, Op: op}
		if op == Set {
			e.Value = drawValue(t, path, s)
		}
		return e
	}
}

// drawTree makes a tree by changes of which the refused ones leave it alone.
func drawTree(t *rapid.T) *Tree {
	tree := New()
	for v := range rapid.IntRange(0, 40).Draw(t, "changes") {
		if next, err := tree.Apply(uint64(v+1), []Edit{drawEdit(t)}); err == nil {
			tree = next
		}
	}
	return tree
}

// drawChange draws edits that the tree takes as one change.
func drawChange(t *rapid.T, tree *Tree) ([]Edit, *Tree) {
	var edits []Edit
	next := tree
	for range rapid.IntRange(1, 8).Draw(t, "edits") {
		e := drawEdit(t)
		if got, err := tree.Apply(1000, append(slices.Clone(edits), e)); err == nil {
			edits, next = append(edits, e), got
		}
	}
	return edits, next
}

func sameValues(a, b *Tree) bool { return len(Diff(a, b)) == 0 && len(Diff(b, a)) == 0 }

func TestInverseUndoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		_, next := drawChange(t, tree)
		back, err := next.Apply(1001, Diff(next, tree))
		if err != nil {
			t.Fatalf("the inverse is refused: %v", err)
		}
		if !sameValues(back, tree) {
			t.Fatalf("the inverse leaves %v", Diff(back, tree))
		}
	})
}

func TestDiffTurnsOneTreeIntoTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawTree(t), drawTree(t)
		got, err := from.Apply(1000, Diff(from, to))
		if err != nil {
			t.Fatalf("the difference is refused: %v", err)
		}
		if !sameValues(got, to) {
			t.Fatalf("left over: %v", Diff(got, to))
		}
		if len(Plan(got, to)) != 0 {
			t.Fatalf("trees of one content differ in effect: %v", Plan(got, to))
		}
	})
}

func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		text := tree.Encode()
		got, err := Decode(text)
		if err != nil {
			t.Fatal(err)
		}
		if got.Digest() != tree.Digest() || !bytes.Equal(got.Encode(), text) {
			t.Fatal("the decoded tree is another one")
		}
		for _, path := range somePaths {
			a, okA := tree.Effective(path)
			b, okB := got.Effective(path)
			if okA != okB || !reflect.DeepEqual(a, b) {
				t.Fatalf("at %s: %+v and %+v", path, a, b)
			}
		}
	})
}

// Trees have one digest if and only if they have the same bytes.
func TestDigestTellsTreesApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		_, next := drawChange(t, tree)
		if (tree.Digest() == next.Digest()) != bytes.Equal(tree.Encode(), next.Encode()) {
			t.Fatalf("digests %016x and %016x", tree.Digest(), next.Digest())
		}
	})
}

// A daemon that has a snapshot of any age and replays the changes after it holds
// the same tree, to the digest, as the control VM that accepted them.
func TestReplayFromSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader := drawTree(t)
		daemon, err := Decode(leader.Encode())
		if err != nil {
			t.Fatal(err)
		}
		for v := range 5 {
			edits, _ := drawChange(t, leader)
			version := uint64(100 + v)
			if leader, err = leader.Apply(version, edits); err != nil {
				t.Fatal(err)
			}
			daemon = daemon.Replay(version, Canonical(edits))
			if daemon.Digest() != leader.Digest() {
				t.Fatalf("after %v the daemon has another tree", edits)
			}
		}
		if len(Plan(leader, daemon)) != 0 {
			t.Fatalf("what holds differs: %v", Plan(leader, daemon))
		}
	})
}

func TestFileRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		got, err := ParseFile(tree.ExportFile())
		if err != nil {
			t.Fatalf("%v in\n%s", err, tree.ExportFile())
		}
		if !sameValues(got, tree) {
			t.Fatalf("left over: %v in\n%s", Diff(got, tree), tree.ExportFile())
		}
	})
}

// A change alters nothing at nodes that are neither edited nor below an edited one.
func TestUntouchedNodesStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		edits, next := drawChange(t, tree)
		for _, path := range somePaths {
			if slices.ContainsFunc(edits, func(e Edit) bool { return reaches(e.Path, path) }) {
				continue
			}
			was, okWas := tree.Effective(path)
			is, okIs := next.Effective(path)
			above := slices.ContainsFunc(edits, func(e Edit) bool { return reaches(path, e.Path) })
			if !above && (okWas != okIs || was != is) {
				t.Fatalf("%v touched %s", edits, path)
			}
			if okWas && okIs && was != is {
				t.Fatalf("%v made %s anew", edits, path)
			}
		}
	})
}

// reaches reports whether an edit at path may alter what holds at other.
func reaches(path, other string) bool {
	path = trimPath(path)
	return path == "" || path == other || strings.HasPrefix(other, path+"/")
}

// What holds at a node is what a plain walk up to the root finds.
func TestInheritanceAgainstPlainWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		for _, path := range somePaths {
			e, ok := tree.Effective(path)
			if !ok {
				continue
			}
			want, tier := Effective{Path: path}, Tier{}
			for i := range current.settings {
				s := &current.settings[i]
				if text := plainWalk(tree, path, s); text != "" {
					v, err := s.parse(text)
					if err != nil {
						t.Fatal(err)
					}
					s.bind(&want, &tier, v)
				}
			}
			if !reflect.DeepEqual(*e, want) || tier != tree.Tier() {
				t.Fatalf("at %s: %+v, and by a plain walk %+v", path, *e, want)
			}
		}
	})
}

func plainWalk(tree *Tree, path string, s *Setting) string {
	for at := path; ; {
		segments, _ := splitPath(at)
		n := lookupNode(tree.root, segments)
		if i := slices.IndexFunc(n.stated, func(st stated) bool { return st.name == s.Name }); i >= 0 {
			return n.stated[i].text
		}
		if len(segments) == 0 || !s.Inherits && !s.RootOnly {
			return s.Default
		}
		at = strings.Join(segments[:len(segments)-1], "/")
	}
}

// A refused change leaves the tree as it was, and its faults name the edits.
func TestRefusedChangeLeavesTheTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		before := tree.Encode()
		edits := rapid.SliceOfN(rapid.Custom(drawEdit), 1, 6).Draw(t, "edits")
		next, err := tree.Apply(1000, edits)
		if err == nil {
			return
		}
		if next != nil || err.Error() == "" {
			t.Fatal("a refused change has a tree or no fault")
		}
		if !bytes.Equal(tree.Encode(), before) {
			t.Fatal("a refused change altered the tree")
		}
	})
}

// An editor remembers the node that it changed last. Edits made together, whatever their
// order and paths, must leave the tree that they leave one by one.
func TestEditsTogetherAreEditsOneByOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		var edits []Edit
		one := tree
		for range rapid.IntRange(1, 12).Draw(t, "edits") {
			e := drawEdit(t)
			edits = append(edits, e)
			one = one.Replay(1000, []Edit{e})
		}
		if together := tree.Replay(1000, edits); together.Digest() != one.Digest() {
			t.Fatalf("%v together differ by %v", edits, Diff(one, together))
		}
	})
}

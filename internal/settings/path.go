package settings

import "strings"

// Root is the displayed path of the root node. The empty path also denotes the root.
const Root = "/"

// MaxDepth is the maximum number of segments of a path.
const MaxDepth = 8

const maxSegmentLen = 63 // characters

// segmentRule describes a valid segment. It is the fix in faults about paths and names.
const segmentRule = "a segment is 1 to 63 of a-z, 0-9, '-', '_', '.', and starts with a letter or digit"

// IsSegment reports whether s is a valid node name.
func IsSegment(s string) bool { return isSegment(s) }

// isSegment reports whether s satisfies segmentRule.
func isSegment(s string) bool {
	if s == "" || len(s) > maxSegmentLen || strings.IndexByte("-_.", s[0]) >= 0 {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alphanumeric := 'a' <= c && c <= 'z' || '0' <= c && c <= '9'
		if !alphanumeric && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

// trimPath returns path without its leading slash; the root becomes "".
func trimPath(path string) string { return strings.TrimPrefix(path, Root) }

// displayPath returns the displayed form of a trimmed path: "/" for the root.
func displayPath(path string) string {
	if path == "" {
		return Root
	}
	return path
}

// joinPath returns the path of a child of the node at parent.
func joinPath(parent, child string) string {
	if trimPath(parent) == "" {
		return child
	}
	return parent + Root + child
}

// splitPath returns the segments of a path, nil for the root. If the path is invalid,
// why is the reason; otherwise it is empty.
func splitPath(path string) (segments []string, why string) {
	path = trimPath(path)
	if path == "" {
		return nil, ""
	}
	segments = strings.Split(path, Root)
	if len(segments) > MaxDepth {
		return nil, "the path has too many segments"
	}
	for _, s := range segments {
		if !isSegment(s) {
			return nil, "a segment of the path is not well formed"
		}
	}
	return segments, ""
}

// IsWithin reports whether path is ancestor itself or a path below it.
func IsWithin(path, ancestor string) bool {
	path, ancestor = trimPath(path), trimPath(ancestor)
	return path == ancestor || strings.HasPrefix(path, ancestor+Root)
}

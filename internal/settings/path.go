package settings

import "strings"

// Root is the path of the root as it is shown; "" means the same.
const Root = "/"

// MaxDepth is the most segments a path may have.
const MaxDepth = 8

const maxSegment = 63 // characters

const segmentRule = "a segment is 1 to 63 of a-z, 0-9, '-', '_', '.', and starts with a letter or digit"

// IsSegment reports whether s may be the name of a node.
func IsSegment(s string) bool { return isSegment(s) }

// isSegment reports whether s keeps to segmentRule.
func isSegment(s string) bool {
	if s == "" || len(s) > maxSegment || strings.IndexByte("-_.", s[0]) >= 0 {
		return false
	}
	for i := range len(s) {
		c := s[i]
		word := 'a' <= c && c <= 'z' || '0' <= c && c <= '9'
		if !word && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

// trimPath returns path without the leading slash; the root becomes "".
func trimPath(path string) string { return strings.TrimPrefix(path, Root) }

// showPath returns the form of a trimmed path that is shown.
func showPath(path string) string {
	if path == "" {
		return Root
	}
	return path
}

// joinPath returns the path of the child of that name.
func joinPath(parent, child string) string {
	if trimPath(parent) == "" {
		return child
	}
	return parent + Root + child
}

// splitPath returns the segments of a path, none for the root, and says what is
// wrong with the path or "".
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

// Below reports whether path is that of the node at top, or of one below it.
func Below(path, top string) bool {
	path, top = trimPath(path), trimPath(top)
	return path == top || strings.HasPrefix(path, top+Root)
}

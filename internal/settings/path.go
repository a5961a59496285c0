package settings

import (
	"regexp"
	"strings"
)

// Root is the path of the root as it is shown; "" means the same.
const Root = "/"

// MaxDepth is the most segments a path may have.
const MaxDepth = 8

const segmentRule = "a segment is 1 to 63 of a-z, 0-9, '-', '_', '.', and starts with a letter or digit"

var segmentPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

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
		if !segmentPattern.MatchString(s) {
			return nil, "a segment of the path is not well formed"
		}
	}
	return segments, ""
}

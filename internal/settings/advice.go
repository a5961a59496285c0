package settings

import (
	"strings"

	"github.com/agnivade/levenshtein"
)

// suggestName returns the fix for an unknown setting name: the known name with the
// smallest edit distance, or a pointer to the reference page when none is close.
func (sc *schema) suggestName(name string) string {
	const maxDistance = 4 // edits; a name further away is not treated as a misspelling
	best, distance := "", maxDistance+1
	if len(name) <= maxNumberLen {
		for i := range sc.settings {
			s := sc.settings[i].Name
			if d := levenshtein.ComputeDistance(strings.ToLower(name), s); d < distance {
				best, distance = s, d
			}
		}
	}
	if best == "" {
		return "see the reference of settings for the names"
	}
	return "did you mean " + best + "?"
}

// valueHint returns the fix for a rejected value: how a value of the setting is written.
func (s *Setting) valueHint() string {
	switch s.Kind {
	case Choice:
		return "write " + strings.Join(s.Choices, " or ")
	case LeafList:
		return leafListHint
	case NameList:
		return "write names separated by commas"
	case Bool:
		return "write true or false"
	case KeyList:
		return "write keys separated by commas"
	}
	return "write a " + s.Kind.String() + " from " + s.Min + " to " + s.Max + ", such as " + s.Default
}

// checkPlacement returns why the setting may not be set at the root, or at a node
// below the root, and how to correct it. It returns empty strings if the placement
// is valid.
func (s *Setting) checkPlacement(atRoot bool) (why, fix string) {
	switch {
	case s.RootOnly && !atRoot:
		return "only the root may state this setting", "set it at " + Root
	case !s.Inherits && !s.RootOnly && atRoot:
		return "the root is no query service", "set it at a path below the root"
	}
	return "", ""
}

// maxFaultValueLen is how many bytes of a rejected value a fault includes.
const maxFaultValueLen = 200

// truncateForFault shortens text to maxFaultValueLen bytes of valid UTF-8.
func truncateForFault(text string) string {
	if len(text) <= maxFaultValueLen {
		return text
	}
	return strings.ToValidUTF8(text[:maxFaultValueLen], "") + "..."
}

package settings

import (
	"strings"

	"github.com/agnivade/levenshtein"
)

// suggest names the setting nearest to an unknown name.
func (sc *schema) suggest(name string) string {
	const furthest = 4 // edits; beyond it a name is no misspelling
	best, distance := "", furthest+1
	if len(name) <= maxNumberText {
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

// fix says how a value of the setting is written.
func (s *Setting) fix() string {
	switch s.Kind {
	case Choice:
		return "write " + strings.Join(s.Choices, " or ")
	case LeafList:
		return leafForm
	case NameList:
		return "write names separated by commas"
	case Bool:
		return "write true or false"
	}
	return "write a " + s.Kind.String() + " from " + s.Min + " to " + s.Max + ", such as " + s.Default
}

// misplaced says why a setting can't stand at the root, or below it.
func (s *Setting) misplaced(atRoot bool) (why, fix string) {
	switch {
	case s.RootOnly && !atRoot:
		return "only the root may state this setting", "set it at " + Root
	case !s.Inherits && !s.RootOnly && atRoot:
		return "the root is no query service", "set it at a path below the root"
	}
	return "", ""
}

const shownValue = 200 // bytes of a value that a fault repeats

func short(text string) string {
	if len(text) <= shownValue {
		return text
	}
	return strings.ToValidUTF8(text[:shownValue], "") + "..."
}

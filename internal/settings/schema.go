package settings

import (
	"slices"
	"strings"
)

// EnvPrefix starts the environment variable of each setting's flag.
const EnvPrefix = "PEARMOOR_"

// Setting describes one setting: the source of flags, environment variables,
// validation and the reference page.
type Setting struct {
	Name     string
	Kind     Kind
	Unit     string // how a value is written
	Min, Max string // inclusive; "" when the kind has no order
	Default  string // "" when nothing holds unless stated
	Choices  []string
	Doc      string
	Inherits bool // nodes below take the value unless they state their own
	RootOnly bool // only the root may state it

	min, max, def *value
	bind          func(e *Effective, t *Tier, v *value)
}

// Env returns the environment variable of the setting's flag.
func (s *Setting) Env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(s.Name, "-", "_"))
}

// Schema returns every setting, in the order of the reference page.
func Schema() []Setting { return slices.Clone(current.settings) }

// Lookup returns the setting of that name.
func Lookup(name string) (*Setting, bool) { return current.lookup(name) }

// schema is a set of settings. There is one, current, but for tests of what
// happens to a tree when a later release has fewer.
type schema struct {
	settings []Setting
	index    map[string]int
	def      Effective
	defTier  Tier
}

var current = newSchema(table())

// newSchema reads the limits and defaults of settings. They are constants of the
// program, so a bad one is a fault of the build and panics at its first start.
func newSchema(settings []Setting) *schema {
	sc := &schema{settings: settings, index: make(map[string]int, len(settings))}
	for i := range settings {
		s := &settings[i]
		sc.index[s.Name] = i
		s.min, s.max = s.constant(s.Min), s.constant(s.Max)
		if s.def = s.constant(s.Default); s.def != nil {
			s.bind(&sc.def, &sc.defTier, s.def)
		}
	}
	sc.def.Path = Root
	return sc
}

func (s *Setting) constant(text string) *value {
	if text == "" {
		return nil
	}
	v, err := s.parse(text)
	if err != nil {
		panic("settings: " + s.Name + ": " + text + ": " + err.Error())
	}
	return v
}

func (sc *schema) lookup(name string) (*Setting, bool) {
	i, ok := sc.index[name]
	if !ok {
		return nil, false
	}
	return &sc.settings[i], true
}

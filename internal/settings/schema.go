package settings

import (
	"slices"
	"strings"
)

// EnvPrefix is the prefix of the environment variables that correspond to the settings'
// flags.
const EnvPrefix = "PEARMOOR_"

// Setting describes one setting. Flags, environment variables, validation and the
// reference page are derived from it.
type Setting struct {
	Name     string
	Kind     Kind
	Unit     string // unit or form of a value, as the reference page shows it
	Min, Max string // inclusive bounds; "" if the kind is not ordered
	Default  string // "" if the setting has no default
	Choices  []string
	Doc      string
	Inherits bool // descendants use the value unless they set their own
	RootOnly bool // may be set only at the root
	Secret   bool // values are shown as fingerprints

	min, max, defaultValue *value
	assign                 func(e *Effective, t *Tier, v *value)
}

// Env returns the environment variable of the setting's flag.
func (s *Setting) Env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(s.Name, "-", "_"))
}

// Schema returns every setting, in the order of the reference page.
func Schema() []Setting { return slices.Clone(currentSchema.settings) }

// Lookup returns the setting with the given name.
func Lookup(name string) (*Setting, bool) { return currentSchema.lookup(name) }

// schema is a set of settings. Outside tests there is one, currentSchema. Tests create
// others to check trees written by a release with more settings.
type schema struct {
	settings     []Setting
	index        map[string]int
	defaults     Effective
	tierDefaults Tier
}

var currentSchema = newSchema(allSettings())

// newSchema parses the bounds and defaults of settings. They are constants of the
// program, so an invalid one is a programming error and panics at startup.
func newSchema(settings []Setting) *schema {
	sc := &schema{settings: settings, index: make(map[string]int, len(settings))}
	for i := range settings {
		s := &settings[i]
		sc.index[s.Name] = i
		s.min, s.max = s.mustParse(s.Min), s.mustParse(s.Max)
		if s.defaultValue = s.mustParse(s.Default); s.defaultValue != nil {
			s.assign(&sc.defaults, &sc.tierDefaults, s.defaultValue)
		}
	}
	sc.defaults.Path = Root
	return sc
}

// mustParse parses a bound or default of s and panics if it is invalid. It returns nil
// for an empty text.
func (s *Setting) mustParse(text string) *value {
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

package settings

import (
	"slices"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// OrganisationSettings holds the settings of one organisation, set at a node below
// OrganisationsPath. Package route interprets them.
type OrganisationSettings struct {
	Name          string // "": the name of the node
	Keys          string // escaped items, separated by commas; secret
	UnknownFields string // a JSON object with the fields that this release does not know
	Rate, Burst   float64
	Priority      int
	KeysRequired  bool // set at OrganisationsPath itself
}

// OrganisationsPath is the path of the node whose children stand for organisations.
const OrganisationsPath = "organisations"

// The names of the settings of organisations.
const (
	NameOrganisationName     = "organisation-name"
	NameOrganisationKeys     = "organisation-keys"
	NameOrganisationPriority = "organisation-priority"
	NameOrganisationRate     = "organisation-rate"
	NameOrganisationBurst    = "organisation-burst"
	NameOrganisationExtra    = "organisation-extra"
	NameKeysRequired         = "organisation-keys-required"
	NameRoutePublic          = "route-public"
	NameReleaseOrganisations = "release-organisation-order"
)

// MaxOrganisationRate is the largest rate and burst of an organisation.
const MaxOrganisationRate = 1_000_000_000

const maxOrganisationRate = "1000000000"

// organisation returns the settings of the organisation at e while e is built. Few nodes are
// organisations; the others share one value. All defaults are zero values.
func (e *Effective) organisation() *OrganisationSettings {
	if e.Organisation == nil {
		e.Organisation = &OrganisationSettings{}
	}
	return e.Organisation
}

func organisationSettings() []Setting {
	return []Setting{
		textSetting(NameOrganisationName, "name", "The organisation's name where it can't be the node's.", func(e *Effective) *string { return &e.organisation().Name }),
		{Name: NameOrganisationKeys, Kind: KeyList, Unit: "key,...", Secret: true,
			Doc:    "The organisation's API keys. No key may be that of two organisations. A key with a comma, an equals sign or a percent sign is kept query-escaped after a leading %; one without a leading % may be written as it is. Keys with blanks, line breaks or control characters are refused.",
			assign: func(e *Effective, _ *Tier, v *value) { e.organisation().Keys = v.text }},
		countSetting(NameOrganisationPriority, "rank", "0", "The rank of the organisation's requests, which replaces that of their routes where it is stated; 0 is the highest.", func(e *Effective) *int { return &e.organisation().Priority }),
		{Name: NameOrganisationRate, Kind: Ratio, Unit: "requests per second", Min: "0", Max: maxOrganisationRate, Default: "0",
			Doc:    "The most requests per second of the organisation that reach leaves, from all daemons together; 0 is no limit.",
			assign: func(e *Effective, _ *Tier, v *value) { e.organisation().Rate = v.ratio }},
		{Name: NameOrganisationBurst, Kind: Ratio, Unit: "requests", Min: "0", Max: maxOrganisationRate, Default: "0",
			Doc:    "The most requests beyond organisation-rate that may come at once.",
			assign: func(e *Effective, _ *Tier, v *value) { e.organisation().Burst = v.ratio }},
		secret(textSetting(NameOrganisationExtra, "JSON object", "Fields of the organisation that this release does not know. They are kept and have no effect.", func(e *Effective) *string { return &e.organisation().UnknownFields })),
		{Name: NameKeysRequired, Kind: Bool, Unit: "true or false", Default: "false",
			Doc:    "Whether requests need the key of an organisation, unless their route is public. Set at " + OrganisationsPath + ".",
			assign: func(e *Effective, _ *Tier, v *value) { e.organisation().KeysRequired = v.integer == 1 }},
	}
}

// secret returns s as a setting whose values are not shown.
func secret(s Setting) Setting {
	s.Secret = true
	return s
}

// CheckKey returns why key cannot be an API key, or "". The result does not contain the key.
func CheckKey(key string) string {
	switch {
	case key == "":
		return "the key is empty"
	case strings.ContainsFunc(key, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }):
		return "the key has a blank, a line break or a control character"
	}
	return ""
}

// CheckOrganisationName returns why name cannot be the name of an organisation, or "".
// The name is sent to leaves as the value of a header.
func CheckOrganisationName(name string) string {
	switch {
	case name == "":
		return "the organisation has no name"
	case strings.ContainsFunc(name, unicode.IsControl):
		return "the name has a line break or a control character"
	}
	return ""
}

// parseKeyList parses a comma-separated list of escaped keys. Its errors do not contain keys.
func parseKeyList(text string) (*value, error) {
	if len(text) > maxTextLen {
		return nil, errors.Newf("the keys are longer than %d bytes", maxTextLen)
	}
	items := strings.Split(text, ",")
	for i, item := range items {
		key, err := UnescapeItem(item)
		if err != nil {
			return nil, errors.Newf("key %d of the list is not escaped properly", i+1)
		}
		if why := CheckKey(key); why != "" {
			return nil, errors.Newf("key %d of the list: %s", i+1, why)
		}
		items[i] = EscapeItem(key)
	}
	if canonical := strings.Join(items, ","); canonical != text {
		text = canonical
	}
	return &value{text: text}, nil
}

// isOrganisation reports whether r stands for an organisation.
func (r *resolvedNode) isOrganisation() bool {
	name, below := strings.CutPrefix(r.eff.Path, OrganisationsPath+Root)
	return below && !strings.Contains(name, Root) && slices.ContainsFunc(r.node.assignments, func(a assignment) bool {
		return a.val != nil && strings.HasPrefix(a.name, organisationPrefix)
	})
}

// checkOrganisations rejects a name or a key that two organisations have: a request with
// the key would count as a request of either. changed holds the organisations that a change
// altered; all organisations are compared with them.
func checkOrganisations(t *Tree, changed []*Effective) contract.Faults {
	if len(changed) == 0 {
		return nil
	}
	c := organisationChecker{
		holders: make(map[string]*Effective, len(changed)), named: make(map[string]*Effective, len(changed)),
	}
	for _, e := range changed {
		c.add(e)
	}
	for _, r := range t.lookup(OrganisationsPath).children {
		if r.isOrganisation() {
			c.compare(r.eff)
		}
	}
	return c.faults
}

// organisationChecker maps the names and keys of changed organisations to them.
type organisationChecker struct {
	holders, named map[string]*Effective
	faults         contract.Faults
}

func (c *organisationChecker) addFault(e *Effective, setting, value, why, fix string) {
	c.faults = append(c.faults, contract.Fault{Field: fieldOf(e.Path, setting), Value: displayValue(e.Path, setting, value), Why: why, Fix: fix})
}

// add indexes the name and the keys of e.
func (c *organisationChecker) add(e *Effective) {
	name, err := organisationName(e)
	why := CheckOrganisationName(name)
	if err != nil {
		why = err.Error()
	}
	if why != "" {
		c.addFault(e, NameOrganisationName, e.Organisation.Name, why, "give it a name of one line")
		return
	}
	c.named[name] = e
	for item := range keyItems(e) {
		c.holders[item] = e
	}
}

// compare reports the name and the keys of e that another changed organisation has too.
func (c *organisationChecker) compare(e *Effective) {
	if name, err := organisationName(e); err == nil {
		if o, ok := c.named[name]; ok && o != e {
			c.addFault(o, NameOrganisationName, name, "the name is that of "+e.Path+" as well", "give each organisation its own name")
		}
	}
	for item := range keyItems(e) {
		if o, ok := c.holders[item]; ok && o != e {
			c.addFault(o, NameOrganisationKeys, item, "the key is that of "+e.Path+" as well", "leave the key to one organisation")
		}
	}
}

func organisationName(e *Effective) (string, error) {
	if e.Organisation.Name == "" {
		return e.Path[strings.LastIndex(e.Path, Root)+1:], nil
	}
	return UnescapeItem(e.Organisation.Name)
}

// keyItems yields the escaped keys of e. Equal keys have equal items, except in a list that
// another release wrote in another form.
func keyItems(e *Effective) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		if e.Organisation.Keys == "" {
			return
		}
		for item := range strings.SplitSeq(e.Organisation.Keys, ",") {
			if !yield(item) {
				return
			}
		}
	}
}

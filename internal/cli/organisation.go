package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/contract"
	"pearmoor/internal/route"
	"pearmoor/internal/settings"
)

// organisationEntry describes one organisation. It shows fingerprints in place of keys.
type organisationEntry struct {
	Name         string   `json:"name"`
	Path         string   `json:"path"`
	Priority     *int     `json:"priority,omitempty"` // nil: that of the route
	Rate         float64  `json:"rate_per_s"`         // 0: not limited
	Burst        float64  `json:"burst"`
	KeyCount     int      `json:"keys"`
	Fingerprints []string `json:"fingerprints"`

	keys []string // secret
}

// organisationList is the output of 'organisation list' and 'organisation show'.
type organisationList struct {
	Version       uint64               `json:"version"`
	KeysRequired  bool                 `json:"keys_required"`
	Organisations []*organisationEntry `json:"organisations"`

	showOne bool
}

// readOrganisations returns the organisations of a tree, sorted by name.
func readOrganisations(tree *settings.Tree) ([]*organisationEntry, error) {
	out := []*organisationEntry{}
	for _, segment := range tree.Children(settings.OrganisationsPath) {
		path := settings.OrganisationsPath + settings.Root + segment
		e, ok := tree.Effective(path)
		if !ok || e.Organisation == nil {
			continue
		}
		o := &organisationEntry{
			Name: segment, Path: path, Rate: e.Organisation.Rate, Burst: e.Organisation.Burst, Fingerprints: []string{},
		}
		if e.Organisation.Name != "" {
			name, err := settings.UnescapeItem(e.Organisation.Name)
			if err != nil {
				return nil, exitErrorf(ExitInvalid, "%s:%s is not escaped properly; correct it with 'pearmoor set'", o.Path, settings.NameOrganisationName)
			}
			o.Name = name
		}
		if tree.Sets(path, settings.NameOrganisationPriority) {
			o.Priority = &e.Organisation.Priority
		}
		if err := o.readKeys(e.Organisation.Keys); err != nil {
			return nil, err
		}
		out = append(out, o)
	}
	slices.SortFunc(out, func(x, y *organisationEntry) int { return cmp.Compare(x.Name, y.Name) })
	return out, nil
}

// readKeys sets the keys from the text of the setting. Its error does not contain keys.
func (o *organisationEntry) readKeys(text string) error {
	if text == "" {
		return nil
	}
	for i, item := range strings.Split(text, ",") {
		key, err := settings.UnescapeItem(item)
		if err != nil {
			return exitErrorf(ExitInvalid, "%s:%s: key %d of the list is not escaped properly; correct it in the file of 'pearmoor export' and apply that",
				o.Path, settings.NameOrganisationKeys, i+1)
		}
		if !slices.Contains(o.keys, key) {
			o.keys = append(o.keys, key)
			o.Fingerprints = append(o.Fingerprints, settings.Fingerprint(key))
		}
	}
	o.KeyCount = len(o.keys)
	return nil
}

// keysRequired reports whether requests need a key.
func keysRequired(tree *settings.Tree) bool {
	e, ok := tree.Effective(settings.OrganisationsPath)
	return ok && e.Organisation != nil && e.Organisation.KeysRequired
}

// findOrganisation returns the organisation with a name, or else the one at the node of that
// name. The error does not repeat the name, which may be a key in the wrong place.
func findOrganisation(organisations []*organisationEntry, name string) (*organisationEntry, error) {
	for _, o := range organisations {
		if o.Name == name {
			return o, nil
		}
	}
	for _, o := range organisations {
		if o.Path == settings.OrganisationsPath+settings.Root+name {
			return o, nil
		}
	}
	return nil, exitErrorf(ExitInvalid, "there is no organisation of that name; 'pearmoor organisation list' shows all, and 'add-key --create' makes one")
}

// declareOrganisation declares organisation with its subcommands.
func (a *app) declareOrganisation(k *kingpin.Application) {
	parent := k.Command("organisation", "Show and change organisations, their API keys and their limits.")
	a.declareOrganisationList(parent)
	a.declareOrganisationSet(parent)
	a.declareOrganisationKeys(parent)
}

func (a *app) declareOrganisationList(parent *kingpin.CmdClause) {
	var version uint64
	c := parent.Command("list", "List the organisations with their limits and the fingerprints of their keys.")
	c.Flag("at", "Version of the tree; 0 is the newest.").Uint64Var(&version)
	c.Action(func(*kingpin.ParseContext) error { return a.listOrganisations(version, "") })

	var name string
	var showVersion uint64
	c = parent.Command("show", `Show one organisation.

Example: pearmoor organisation show acme`)
	c.Arg("name", "The organisation.").Required().StringVar(&name)
	c.Flag("at", "Version of the tree; 0 is the newest.").Uint64Var(&showVersion)
	c.Action(func(*kingpin.ParseContext) error { return a.listOrganisations(showVersion, name) })
}

// listOrganisations prints the organisation with a name, or all if the name is empty.
func (a *app) listOrganisations(version uint64, name string) error {
	tree, at, err := a.readTree(version)
	if err != nil {
		return err
	}
	out := &organisationList{Version: at, KeysRequired: keysRequired(tree), showOne: name != ""}
	if out.Organisations, err = readOrganisations(tree); err != nil {
		return err
	}
	if name != "" {
		o, err := findOrganisation(out.Organisations, name)
		if err != nil {
			return err
		}
		out.Organisations = []*organisationEntry{o}
	}
	return a.print(out)
}

func (l *organisationList) writeText(w io.Writer) {
	if !l.KeysRequired {
		fmt.Fprintf(w, "requests need no key until %s is true at %s\n", settings.NameKeysRequired, settings.OrganisationsPath)
	}
	if l.showOne {
		o := l.Organisations[0]
		fmt.Fprintf(w, "%s at %s, version %d\n  priority: %s\n  rate: %s\n  burst: %s\n  keys: %d\n",
			o.Name, o.Path, l.Version, formatPriority(o.Priority), formatRate(o.Rate), formatNumber(o.Burst), o.KeyCount)
		for _, fingerprint := range o.Fingerprints {
			fmt.Fprintf(w, "    %s\n", fingerprint)
		}
		return
	}
	if len(l.Organisations) == 0 {
		fmt.Fprintln(w, "there are no organisations")
		return
	}
	rows := make([][]string, len(l.Organisations))
	for i, o := range l.Organisations {
		rows[i] = []string{
			o.Name, formatPriority(o.Priority), formatRate(o.Rate), formatNumber(o.Burst), strconv.Itoa(o.KeyCount),
			dashIfEmpty(strings.Join(o.Fingerprints, ",")),
		}
	}
	writeTable(w, "ORGANISATION\tPRIORITY\tRATE\tBURST\tKEYS\tFINGERPRINTS", rows)
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func formatRate(rate float64) string {
	if rate == 0 {
		return "no limit"
	}
	return formatNumber(rate) + "/s"
}

func formatPriority(p *int) string {
	if p == nil {
		return "of the route"
	}
	return strconv.Itoa(*p)
}

// limitFlag is a flag of 'organisation set'.
type limitFlag struct {
	setting   string
	value     string
	setByUser bool
}

// priorityOfRoute is the value of --priority that removes the organisation's own.
const priorityOfRoute = "route"

func (a *app) declareOrganisationSet(parent *kingpin.CmdClause) {
	var name string
	var flags changeFlags
	c := parent.Command("set", `Change an organisation's priority, rate and burst. A higher rate holds at once, a lower
one within a quota window after the change is in force.

Example: pearmoor organisation set acme --rate=20 --burst=10 --reason="contract of June"`)
	c.Arg("name", "The organisation.").Required().StringVar(&name)
	limits := []*limitFlag{
		{setting: settings.NameOrganisationPriority}, {setting: settings.NameOrganisationRate}, {setting: settings.NameOrganisationBurst},
	}
	for i, help := range []string{
		"Rank of its requests; 0 is the highest. '" + priorityOfRoute + "': that of their route.",
		"Requests per second that may reach leaves; 0 is no limit.",
		"Requests beyond the rate that may come at once.",
	} {
		limit := limits[i]
		c.Flag(strings.TrimPrefix(limit.setting, "organisation-"), help).NoEnvar().IsSetByUser(&limit.setByUser).StringVar(&limit.value)
	}
	declareOrganisationChange(c, &flags)
	c.Action(func(*kingpin.ParseContext) error { return a.setOrganisation(&flags, name, limits) })
}

// declareOrganisationChange declares the flags of the commands that change an organisation.
func declareOrganisationChange(c *kingpin.CmdClause, f *changeFlags) {
	f.declare(c)
	c.Flag("plan", "Show what would change and change nothing, as --dry-run.").NoEnvar().BoolVar(&f.plan)
}

// readForChange returns the tree that a change is made for, and its organisations.
func (a *app) readForChange(f *changeFlags) (*settings.Tree, uint64, []*organisationEntry, error) {
	f.dryRun = f.dryRun || f.plan
	tree, version, err := a.readTree(f.base.value)
	if err != nil {
		return nil, 0, nil, err
	}
	organisations, err := readOrganisations(tree)
	return tree, version, organisations, err
}

// submitOrganisationChange submits edits of organisations. lines describe them.
func (a *app) submitOrganisationChange(f *changeFlags, tree *settings.Tree, version uint64, edits []settings.Edit, lines []string) error {
	f.lines = lines
	number, ok := route.ReleaseNumber(tree)
	switch {
	case !ok:
		f.lines = append(f.lines, "the platform has sent no configuration yet; VMs use organisations only with one")
	case slices.ContainsFunc(edits, func(e settings.Edit) bool { return route.IsReleasePath(e.Path) }):
		f.lines = append(f.lines, fmt.Sprintf("organisations are part of the platform's configuration, now release %d: its next one replaces this change; make it there as well", number))
	}
	if !keysRequired(tree) {
		f.lines = append(f.lines, "requests need no key until "+settings.NameKeysRequired+" is true at "+settings.OrganisationsPath)
	}
	return a.submitChange(f, tree, version, settings.Canonical(edits))
}

func (a *app) setOrganisation(f *changeFlags, name string, limits []*limitFlag) error {
	if !slices.ContainsFunc(limits, func(l *limitFlag) bool { return l.setByUser }) {
		return usageError("organisation set needs --priority, --rate or --burst")
	}
	tree, version, organisations, err := a.readForChange(f)
	if err != nil {
		return err
	}
	o, err := findOrganisation(organisations, name)
	if err != nil {
		return err
	}
	var edits []settings.Edit
	for _, l := range limits {
		switch {
		case !l.setByUser:
		case l.setting == settings.NameOrganisationPriority && l.value == priorityOfRoute:
			if o.Priority != nil {
				edits = append(edits, settings.Edit{Path: o.Path, Name: l.setting, Op: settings.Unset})
			}
		default:
			edits = append(edits, settings.Edit{Path: o.Path, Name: l.setting, Value: l.value, Op: settings.Set})
		}
	}
	next, err := tree.Apply(version+1, settings.Canonical(edits))
	if err != nil {
		return err
	}
	changed, err := readOrganisations(next)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(changed, func(c *organisationEntry) bool { return c.Path == o.Path })
	if i < 0 {
		return exitErrorf(ExitInvalid, "the organisation would have no setting left; remove its node with 'pearmoor remove %s'", o.Path)
	}
	return a.submitOrganisationChange(f, tree, version, edits, describeLimits(o, changed[i]))
}

// describeLimits returns a line for each limit that differs, with the old and the new value.
func describeLimits(before, after *organisationEntry) []string {
	var lines []string
	if old, now := formatPriority(before.Priority), formatPriority(after.Priority); old != now {
		lines = append(lines, fmt.Sprintf("%s: priority was %s, becomes %s", before.Name, old, now))
	}
	if old, now := before.Rate, after.Rate; old != now {
		line := fmt.Sprintf("%s: rate was %s, becomes %s", before.Name, formatRate(old), formatRate(now))
		if now > 0 && (old == 0 || now < old) {
			line += "; lower, so it holds within a quota window after the change is in force"
		}
		lines = append(lines, line)
	}
	if before.Burst != after.Burst {
		lines = append(lines, fmt.Sprintf("%s: burst was %s, becomes %s", before.Name, formatNumber(before.Burst), formatNumber(after.Burst)))
	}
	return lines
}

// heldElsewhere returns the fault of a key that another organisation holds.
func heldElsewhere(holder *organisationEntry, key string) error {
	fingerprint := settings.Fingerprint(key)
	return contract.Faults{{
		Field: holder.Path + ":" + settings.NameOrganisationKeys, Value: "fingerprint " + fingerprint,
		Why: "the key is that of organisation " + holder.Name,
		Fix: "add another key, or give this one to the other organisation with 'pearmoor organisation move " + fingerprint + " NAME'",
	}}
}

package cli

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"pearmoor/internal/settings"
)

const (
	// maxKeyBytes is the longest API key that daemons look up; a longer one would never match.
	maxKeyBytes = 4 << 10
	// fingerprintDigits is the length of a fingerprint.
	fingerprintDigits = 8
	// minCheckedKey is the length in bytes from which the reason is searched for the key. A
	// shorter one may be part of a word.
	minCheckedKey = 8
)

// keyFlags are the flags and arguments of the commands that change keys.
type keyFlags struct {
	changeFlags
	organisation string // whose keys are changed; of 'move', the one that gets the key
	key          string // fingerprint, or empty for the key on the standard input
	file         string
	stray        []string // further arguments, which may be keys
	create, yes  bool
}

func (a *app) declareOrganisationKeys(parent *kingpin.CmdClause) {
	var add, revoke, move keyFlags
	c := parent.Command("add-key", `Give an organisation an API key, which is read from the standard input or a file.

Example: pearmoor organisation add-key acme --key-file=acme.key --reason="new key of acme"`)
	c.Arg("name", "The organisation.").Required().StringVar(&add.organisation)
	c.Flag("key-file", "File with the key on one line; - is the standard input.").NoEnvar().Default("-").StringVar(&add.file)
	c.Flag("create", "Make the organisation if there is none of the name.").NoEnvar().BoolVar(&add.create)
	a.declareKeyChange(c, &add, a.addKey)

	c = parent.Command("revoke-key", `Take a key away from an organisation. With strict revocation no request with it runs on
any VM once the revocation time has passed since the change was accepted.

Example: pearmoor organisation revoke-key acme 1a2b3c4d --reason="key leaked"`)
	c.Arg("name", "The organisation.").Required().StringVar(&revoke.organisation)
	declareKeyArg(c, &revoke)
	c.Flag("yes", "Take the last key away as well.").NoEnvar().BoolVar(&revoke.yes)
	a.declareKeyChange(c, &revoke, a.revokeKey)

	c = parent.Command("move", `Give a key of one organisation to another, in one change.

Example: pearmoor organisation move 1a2b3c4d acme-labs --reason="acme has split"`)
	declareKeyArg(c, &move)
	c.Arg("to", "The organisation that gets the key.").Required().StringVar(&move.organisation)
	c.Flag("yes", "Move the last key of an organisation as well.").NoEnvar().BoolVar(&move.yes)
	a.declareKeyChange(c, &move, a.moveKey)
}

func declareKeyArg(c *kingpin.CmdClause, f *keyFlags) {
	c.Arg("key", "Fingerprint of the key, as 'list' shows it; - reads the key from the standard input.").Required().StringVar(&f.key)
}

// declareKeyChange declares the flags of a change of keys. Further arguments are declared too,
// since the parser's error would repeat them, and they may be keys.
func (a *app) declareKeyChange(c *kingpin.CmdClause, f *keyFlags, change func(*keyFlags) error) {
	declareOrganisationChange(c, &f.changeFlags)
	c.Arg("no-further-argument", "").Hidden().StringsVar(&f.stray)
	c.Action(func(*kingpin.ParseContext) error {
		if len(f.stray) > 0 {
			return usageError("there are too many arguments; a key is never one: give it on the standard input or in a file, or name its fingerprint")
		}
		return change(f)
	})
}

// readKey reads a key from a file, or from the standard input if name is "-". Its errors
// contain neither the key nor the name, which may be a key in the wrong place.
func (a *app) readKey(name string) (string, error) {
	in := a.in
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return "", exitErrorf(ExitFailed, "read the key file: %v; name a file with the key on one line", withoutPath(err))
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	text, err := io.ReadAll(io.LimitReader(in, maxKeyBytes+3)) // with a line break, and one byte more to detect an excess
	if err != nil {
		return "", exitErrorf(ExitFailed, "read the key: %v", withoutPath(err))
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(text), "\n"), "\r")
	if why := settings.CheckKey(key); why != "" {
		return "", exitErrorf(ExitInvalid, "%s; give one key on one line", why)
	}
	if len(key) > maxKeyBytes {
		return "", exitErrorf(ExitInvalid, "the key is longer than %d bytes, which no request can carry; give a shorter one", maxKeyBytes)
	}
	return key, nil
}

func withoutPath(err error) error {
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err
	}
	return err
}

// findKeys returns a function that reports whether a key is the one that is named by its
// fingerprint or given on the standard input.
func (a *app) findKeys(f *keyFlags) (matches func(key string) bool, err error) {
	if f.key == "" { // the parser returns - as an empty argument
		wanted, err := a.readKey("-")
		if err != nil {
			return nil, err
		}
		return func(key string) bool { return key == wanted }, f.checkTexts(wanted)
	}
	fingerprint := strings.ToLower(f.key)
	if len(fingerprint) != fingerprintDigits || strings.Trim(fingerprint, "0123456789abcdef") != "" {
		return nil, usageError("the key is not named by a fingerprint of %d hex digits, as 'pearmoor organisation list' shows them; give - and the key itself on the standard input", fingerprintDigits)
	}
	return func(key string) bool { return settings.Fingerprint(key) == fingerprint }, nil
}

// checkTexts rejects a key in the texts that the audit trail keeps as they are.
func (f *keyFlags) checkTexts(keys ...string) error {
	for _, key := range keys {
		if len(key) >= minCheckedKey && strings.Contains(f.reason+"\n"+f.changeID, key) {
			return exitErrorf(ExitInvalid, "the reason or the change id contains the key, and the audit trail would show it; name its fingerprint %s instead", settings.Fingerprint(key))
		}
	}
	return nil
}

// heldKey is a key with the organisation that holds it.
type heldKey struct {
	key    string
	holder *organisationEntry
}

// selectKey returns the one key of organisations that the arguments name.
func (a *app) selectKey(f *keyFlags, organisations []*organisationEntry) (heldKey, error) {
	matches, err := a.findKeys(f)
	if err != nil {
		return heldKey{}, err
	}
	var found []heldKey
	for _, o := range organisations {
		for _, key := range o.keys {
			if matches(key) {
				found = append(found, heldKey{key, o})
			}
		}
	}
	switch len(found) {
	case 0:
		return heldKey{}, exitErrorf(ExitInvalid, "no such key; 'pearmoor organisation list' shows which organisation holds which")
	case 1:
		return found[0], f.checkTexts(found[0].key)
	}
	return heldKey{}, exitErrorf(ExitInvalid, "the fingerprint fits %d keys; give - and the key itself on the standard input", len(found))
}

// keysEdit returns the edit that gives o the keys.
func (o *organisationEntry) keysEdit(keys []string) settings.Edit {
	if len(keys) == 0 {
		return settings.Edit{Path: o.Path, Name: settings.NameOrganisationKeys, Op: settings.Unset}
	}
	items := make([]string, len(keys))
	for i, key := range keys {
		items[i] = settings.EscapeItem(key)
	}
	return settings.Edit{Path: o.Path, Name: settings.NameOrganisationKeys, Value: strings.Join(items, ","), Op: settings.Set}
}

// withoutKey returns the edits that take a key away from o. A node needs a setting to remain, so
// one that would have none states its name.
func (o *organisationEntry) withoutKey(tree *settings.Tree, key string) []settings.Edit {
	rest := slices.DeleteFunc(slices.Clone(o.keys), func(k string) bool { return k == key })
	edits := []settings.Edit{o.keysEdit(rest)}
	if len(rest) == 0 && len(tree.ExplicitValues(o.Path)) == 1 {
		edits = append(edits, settings.Edit{Path: o.Path, Name: settings.NameOrganisationName, Value: settings.EscapeItem(o.Name), Op: settings.Set})
	}
	return edits
}

// checkLastKey warns if the key is the last one of its organisation, and refuses the change
// without --yes. A plan shows the change all the same.
func (a *app) checkLastKey(f *keyFlags, k heldKey) error {
	if len(k.holder.keys) > 1 {
		return nil
	}
	_, _ = fmt.Fprintf(a.errOut, "warning: %s is the last key of organisation %s; without it all its requests that need a key are refused\n",
		settings.Fingerprint(k.key), k.holder.Name)
	if f.yes || f.dryRun {
		return nil
	}
	return exitErrorf(ExitInvalid, "nothing changed: this takes the last key of organisation %s; add another key first, or repeat the command with --yes", k.holder.Name)
}

func (a *app) addKey(f *keyFlags) error {
	key, err := a.readKey(f.file)
	if err != nil {
		return err
	}
	if err := f.checkTexts(key); err != nil {
		return err
	}
	tree, version, organisations, err := a.readForChange(&f.changeFlags)
	if err != nil {
		return err
	}
	o, err := findOrganisation(organisations, f.organisation)
	verb := "gets"
	if err != nil {
		if !f.create {
			return err
		}
		if !settings.IsSegment(f.organisation) {
			return exitErrorf(ExitInvalid, "a new organisation's name has to be one of a node: 1 to 63 of a-z, 0-9, '-', '_', '.', beginning with a letter or digit; give others through the platform's configuration")
		}
		o = &organisationEntry{Name: f.organisation, Path: settings.OrganisationsPath + settings.Root + f.organisation}
		verb = "is new and gets"
	}
	for _, other := range organisations {
		if other.Path != o.Path && slices.Contains(other.keys, key) {
			return heldElsewhere(other, key)
		}
	}
	keys := o.keys
	if !slices.Contains(keys, key) {
		keys = append(slices.Clone(keys), key)
	}
	lines := []string{fmt.Sprintf("%s %s key %s and has %s then", o.Name, verb, settings.Fingerprint(key), plural(len(keys), "key"))}
	return a.submitOrganisationChange(&f.changeFlags, tree, version, []settings.Edit{o.keysEdit(keys)}, lines)
}

func (a *app) revokeKey(f *keyFlags) error {
	tree, version, organisations, err := a.readForChange(&f.changeFlags)
	if err != nil {
		return err
	}
	o, err := findOrganisation(organisations, f.organisation)
	if err != nil {
		return err
	}
	k, err := a.selectKey(f, []*organisationEntry{o})
	if err != nil {
		return err
	}
	if err := a.checkLastKey(f, k); err != nil {
		return err
	}
	lines := []string{fmt.Sprintf("%s loses key %s and has %s then", o.Name, settings.Fingerprint(k.key), plural(len(o.keys)-1, "key"))}
	return a.submitOrganisationChange(&f.changeFlags, tree, version, o.withoutKey(tree, k.key), lines)
}

func (a *app) moveKey(f *keyFlags) error {
	tree, version, organisations, err := a.readForChange(&f.changeFlags)
	if err != nil {
		return err
	}
	to, err := findOrganisation(organisations, f.organisation)
	if err != nil {
		return err
	}
	k, err := a.selectKey(f, organisations)
	if err != nil {
		return err
	}
	if k.holder == to {
		return exitErrorf(ExitInvalid, "organisation %s holds the key %s already; name the one that is to get it", to.Name, settings.Fingerprint(k.key))
	}
	if err := a.checkLastKey(f, k); err != nil {
		return err
	}
	edits := append(k.holder.withoutKey(tree, k.key), to.keysEdit(append(slices.Clone(to.keys), k.key)))
	lines := []string{fmt.Sprintf("key %s goes from %s, which has %s then, to %s, which has %s then", settings.Fingerprint(k.key),
		k.holder.Name, plural(len(k.holder.keys)-1, "key"), to.Name, plural(len(to.keys)+1, "key"))}
	return a.submitOrganisationChange(&f.changeFlags, tree, version, edits, lines)
}

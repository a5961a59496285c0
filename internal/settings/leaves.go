package settings

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// MaxLeaves is the maximum number of leaves of one query service.
const MaxLeaves = 4096

// leafListHint is the fix in faults about leaf lists.
const leafListHint = "write name=ip:port@domain, separated by commas"

// ParseLeaves parses a comma-separated list of leaves, each name=ip:port@domain, and
// returns them sorted by name.
func ParseLeaves(text string) ([]Leaf, error) {
	items := strings.Split(text, ",")
	if len(items) > MaxLeaves {
		return nil, errors.Newf("there are %d leaves; %d at most are allowed", len(items), MaxLeaves)
	}
	leaves := make([]Leaf, 0, len(items))
	for _, item := range items {
		leaf, err := parseLeaf(strings.TrimSpace(item))
		if err != nil {
			return nil, err
		}
		leaves = append(leaves, leaf)
	}
	slices.SortFunc(leaves, func(a, b Leaf) int { return cmp.Compare(a.Name, b.Name) })
	return leaves, checkDuplicates(leaves)
}

// parseLeafList parses a leaf list as the value of a setting.
func parseLeafList(text string) (*value, error) {
	leaves, err := ParseLeaves(text)
	if err != nil {
		return nil, err
	}
	if canonical := FormatLeaves(leaves); canonical != text {
		text = canonical
	}
	return &value{text: text, leaves: leaves}, nil
}

func parseLeaf(item string) (Leaf, error) {
	name, rest, ok := strings.Cut(item, "=")
	if !ok {
		return Leaf{}, errors.Newf("leaf %q has no '='", item)
	}
	addr, domain, ok := strings.Cut(rest, "@")
	if !ok {
		return Leaf{}, errors.Newf("leaf %q names no failure domain", item)
	}
	if !isSegment(name) {
		return Leaf{}, errors.Newf("leaf name %q is not well formed: %s", name, segmentRule)
	}
	if !isSegment(domain) {
		return Leaf{}, errors.Newf("failure domain %q of leaf %q is not well formed: %s", domain, name, segmentRule)
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() || ap.Addr().Zone() != "" {
		return Leaf{}, errors.Newf("address %q of leaf %q is not an IP number and port", addr, name)
	}
	return Leaf{Name: name, Addr: netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()).String(), Domain: domain}, nil
}

// checkDuplicates rejects a leaf list that repeats a name or an address. Otherwise the
// slots of one target would be allocated twice, and the daemons would overload it.
func checkDuplicates(sorted []Leaf) error {
	byAddr := make(map[string]string, len(sorted))
	for i, l := range sorted {
		if i > 0 && sorted[i-1].Name == l.Name {
			return errors.Newf("leaf name %q stands twice", l.Name)
		}
		if first, ok := byAddr[l.Addr]; ok {
			return errors.Newf("address %s is that of both leaf %q and leaf %q", l.Addr, first, l.Name)
		}
		byAddr[l.Addr] = l.Name
	}
	return nil
}

// FormatLeaves formats a leaf list so that ParseLeaves can parse it.
func FormatLeaves(leaves []Leaf) string {
	var b strings.Builder
	for i, l := range leaves {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(l.String())
	}
	return b.String()
}

// String returns the leaf as name=ip:port@domain.
func (l Leaf) String() string { return l.Name + "=" + l.Addr + "@" + l.Domain }

// parseNameList parses a comma-separated list of names and returns them sorted and without
// duplicates.
func parseNameList(text string) ([]string, error) {
	names := strings.Split(text, ",")
	for i, n := range names {
		names[i] = strings.TrimSpace(n)
		if !isSegment(names[i]) {
			return nil, errors.Newf("name %q is not well formed: %s", names[i], segmentRule)
		}
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

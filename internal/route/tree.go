package route

import (
	"cmp"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"pearmoor/internal/settings"
	"pearmoor/internal/work"
)

// Edits returns the edits that replace the release in the tree by r. Settings that
// an operator has made on the same nodes, such as an answer margin of one route,
// are not changed.
func Edits(t *settings.Tree, r *Release) []settings.Edit {
	var out []settings.Edit
	want := releaseNodes(r)
	for _, base := range []string{settings.RoutesPath, settings.ServicesPath, settings.OrganisationsPath} {
		for _, name := range t.Children(base) {
			path := base + settings.Root + name
			if _, kept := want[path]; !kept && setByRelease(t, path) {
				out = append(out, settings.Edit{Path: path, Op: settings.Remove})
			}
		}
	}
	paths := make([]string, 0, len(want))
	for path := range want {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	for _, path := range paths {
		out = append(out, nodeEdits(path, t.ExplicitValues(path), want[path])...)
	}
	return out
}

// setByRelease reports whether a release created the node. An operator may have set
// something on a node whose route no release defines yet.
func setByRelease(t *settings.Tree, path string) bool {
	for name := range t.ExplicitValues(path) {
		if isReleaseSetting[name] {
			return true
		}
	}
	return false
}

// nodeEdits returns the edits that change the release settings of the node at path
// from have to want.
func nodeEdits(path string, have, want map[string]string) []settings.Edit {
	var out []settings.Edit
	for _, name := range releaseSettings {
		old, stated := have[name]
		desired, wanted := want[name]
		switch {
		case wanted && (!stated || old != desired):
			out = append(out, settings.Edit{Path: path, Name: name, Value: desired, Op: settings.Set})
		case stated && !wanted:
			out = append(out, settings.Edit{Path: path, Name: name, Op: settings.Unset})
		}
	}
	return out
}

// IsReleasePath reports whether the node at path belongs to the release.
func IsReleasePath(path string) bool {
	for _, base := range []string{settings.RoutesPath, settings.ServicesPath, settings.OrganisationsPath, settings.LimitsPath, settings.ReleasePath} {
		if path == base || strings.HasPrefix(path, base+settings.Root) {
			return true
		}
	}
	return false
}

// releaseSettings lists the settings that a release may set, on any node.
var releaseSettings = []string{
	settings.NameRouteName, settings.NameRouteHost, settings.NameRoutePrefix, settings.NameRouteService,
	settings.NameRouteSplit, settings.NameRouteShards, settings.NameRouteRepeatable, settings.NameRouteAttempts,
	settings.NameRoutePriority, settings.NameRouteTop, settings.NameRouteLeastCoverage, settings.NameRouteTimeout,
	settings.NameRouteTargetLatency, settings.NameRouteRegions, settings.NameRoutePublic, settings.NameRouteExtra,
	settings.NameServiceName, settings.NameServiceHealthPath, settings.NameServiceProtocol,
	settings.NameServiceConnections, settings.NameServiceTLS, settings.NameServiceWarmUpRate, settings.NameServiceExtra,
	settings.NameOrganisationName, settings.NameOrganisationKeys, settings.NameOrganisationPriority, settings.NameOrganisationRate,
	settings.NameOrganisationBurst, settings.NameOrganisationExtra, settings.NameKeysRequired,
	settings.NameHeaderLimit, settings.NameBodyLimit, settings.NameHeaderTimeout, settings.NameIdleTimeout,
	settings.NameReleaseNumber, settings.NameReleaseRoutes, settings.NameReleaseServices, settings.NameReleaseOrganisations, settings.NameReleaseExtra,
}

var isReleaseSetting = func() map[string]bool {
	out := make(map[string]bool, len(releaseSettings))
	for _, name := range releaseSettings {
		out[name] = true
	}
	return out
}()

// nodeValues holds the settings of one node, by name, in canonical form. A setting
// whose text is empty is left out.
type nodeValues map[string]string

func (n nodeValues) setText(name, value string) {
	if value != "" {
		n[name] = value
	}
}

// setUnlessDefault sets a value unless it equals the setting's default. Defaults
// never change, and most of the thousands of routes in a release differ from them in
// few settings.
func (n nodeValues) setUnlessDefault(name, value string) {
	canonical := settings.Canonical([]settings.Edit{{Path: settings.Root, Name: name, Value: value, Op: settings.Set}})
	if s, ok := settings.Lookup(name); ok && s.Default == canonical[0].Value {
		return
	}
	n[name] = canonical[0].Value
}

// releaseNodes returns, by path, the settings that represent a release in the tree.
func releaseNodes(r *Release) map[string]map[string]string {
	out := make(map[string]map[string]string, len(r.Routes)+len(r.Services)+len(r.Organisations)+3)
	routes, services, organisations := newSegmentNames(), newSegmentNames(), newSegmentNames()
	for i := range r.Routes {
		rt := &r.Routes[i]
		seg := routes.assign(rt.Name)
		out[settings.RoutesPath+settings.Root+seg] = routeNode(rt, seg)
	}
	for i := range r.Services {
		s := &r.Services[i]
		seg := services.assign(s.Name)
		out[settings.ServicesPath+settings.Root+seg] = serviceNode(s)
	}
	for i := range r.Organisations {
		o := &r.Organisations[i]
		seg := organisations.assign(o.Name)
		out[settings.OrganisationsPath+settings.Root+seg] = organisationNode(o, seg)
	}
	required := nodeValues{}
	required.setUnlessDefault(settings.NameKeysRequired, strconv.FormatBool(r.KeysRequired))
	out[settings.OrganisationsPath] = required
	out[settings.LimitsPath] = limitsNode(&r.Limits)
	rel := nodeValues{settings.NameReleaseNumber: strconv.FormatUint(r.Number, 10)}
	rel.setText(settings.NameReleaseRoutes, routes.orderSetting())
	rel.setText(settings.NameReleaseServices, services.orderSetting())
	rel.setText(settings.NameReleaseOrganisations, organisations.orderSetting())
	rel.setText(settings.NameReleaseExtra, r.Extra)
	out[settings.ReleasePath] = rel
	return out
}

func routeNode(r *Route, seg string) nodeValues {
	n := nodeValues{}
	if r.Name != seg {
		n[settings.NameRouteName] = escapeOrMarkEmpty(r.Name)
	}
	n.setText(settings.NameRouteHost, settings.EscapeItem(r.Host))
	n.setText(settings.NameRoutePrefix, settings.EscapeItem(r.Prefix))
	n.setText(settings.NameRouteService, settings.EscapeItem(r.Service))
	n.setText(settings.NameRouteShards, joinNames(r.Shards))
	n.setText(settings.NameRouteSplit, joinSplit(r.Split))
	n.setUnlessDefault(settings.NameRouteRepeatable, strconv.FormatBool(r.Repeatable))
	n.setUnlessDefault(settings.NameRouteAttempts, strconv.Itoa(r.MaxAttempts))
	n.setUnlessDefault(settings.NameRoutePriority, strconv.Itoa(r.Priority))
	n.setUnlessDefault(settings.NameRouteTimeout, r.Timeout.String())
	n.setUnlessDefault(settings.NameRouteTargetLatency, r.TargetLatency.String())
	if r.IsGather() {
		n.setUnlessDefault(settings.NameRouteTop, strconv.Itoa(r.Top))
		n.setUnlessDefault(settings.NameRouteLeastCoverage, strconv.FormatFloat(r.MinCoverage, 'f', -1, 64))
	}
	n.setText(settings.NameRouteRegions, joinNames(r.Regions))
	n.setUnlessDefault(settings.NameRoutePublic, strconv.FormatBool(r.Public))
	n.setText(settings.NameRouteExtra, r.Extra)
	return n
}

func serviceNode(s *Service) nodeValues {
	// The name is stated always: a node without a single value is none.
	n := nodeValues{settings.NameServiceName: escapeOrMarkEmpty(s.Name)}
	n.setText(settings.NameServiceHealthPath, settings.EscapeItem(s.HealthPath))
	n.setText(settings.NameServiceProtocol, settings.EscapeItem(s.Protocol))
	n.setUnlessDefault(settings.NameServiceConnections, strconv.Itoa(s.Connections))
	n.setUnlessDefault(settings.NameServiceTLS, strconv.FormatBool(s.TLS))
	n.setUnlessDefault(settings.NameServiceWarmUpRate, strconv.FormatFloat(s.WarmUpRate, 'f', -1, 64))
	n.setText(settings.NameServiceExtra, s.Extra)
	return n
}

func organisationNode(o *Organisation, seg string) nodeValues {
	n := nodeValues{}
	n.setText(settings.NameOrganisationKeys, joinNames(o.Keys))
	if o.HasPriority {
		n[settings.NameOrganisationPriority] = strconv.Itoa(o.Priority)
	}
	n.setUnlessDefault(settings.NameOrganisationRate, strconv.FormatFloat(o.Rate, 'f', -1, 64))
	n.setUnlessDefault(settings.NameOrganisationBurst, strconv.FormatFloat(o.Burst, 'f', -1, 64))
	n.setText(settings.NameOrganisationExtra, o.Extra)
	if o.Name != seg || len(n) == 0 { // a node without a single value is none
		n[settings.NameOrganisationName] = escapeOrMarkEmpty(o.Name)
	}
	return n
}

func limitsNode(l *Limits) nodeValues {
	n := nodeValues{}
	n.setUnlessDefault(settings.NameHeaderLimit, strconv.Itoa(l.HeaderBytes))
	n.setUnlessDefault(settings.NameBodyLimit, strconv.FormatInt(l.BodyBytes, 10)+"B")
	n.setUnlessDefault(settings.NameHeaderTimeout, l.HeaderTimeout.String())
	n.setUnlessDefault(settings.NameIdleTimeout, l.IdleTimeout.String())
	return n
}

// ReleaseNumber returns the number of the release in the tree, and false if there
// is none.
func ReleaseNumber(t *settings.Tree) (uint64, bool) {
	e, ok := t.Effective(settings.ReleasePath)
	if !ok || e.Release.Number == "" {
		return 0, false
	}
	n, err := strconv.ParseUint(e.Release.Number, 10, 64)
	return n, err == nil
}

// DecodeError is the error of a node of the tree that cannot be decoded.
type DecodeError struct {
	Path string // of the node
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return "route: " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// FromTree returns the release in the tree, or nil if there is none. Its error is a
// *DecodeError.
func FromTree(t *settings.Tree) (*Release, error) {
	number, ok := ReleaseNumber(t)
	if !ok {
		return nil, nil
	}
	rel, _ := t.Effective(settings.ReleasePath)
	r := &Release{Number: number, Extra: rel.Release.UnknownFields}
	limits, ok := t.Effective(settings.LimitsPath)
	if !ok {
		limits, _ = t.Effective(settings.Root) // no limits node: every limit has its default
	}
	r.Limits = Limits(limits.Caller)
	for _, seg := range sortByOrder(t.Children(settings.ServicesPath), rel.Release.ServiceOrder) {
		if path := settings.ServicesPath + settings.Root + seg; setByRelease(t, path) {
			e, _ := t.Effective(path)
			s, err := readService(e, seg)
			if err != nil {
				return nil, &DecodeError{Path: path, Err: err}
			}
			r.Services = append(r.Services, s)
		}
	}
	var pacer work.Pacer
	if e, ok := t.Effective(settings.OrganisationsPath); ok {
		r.KeysRequired = e.Organisation.KeysRequired
	}
	for _, seg := range sortByOrder(t.Children(settings.OrganisationsPath), rel.Release.OrganisationOrder) {
		pacer.Step()
		if path := settings.OrganisationsPath + settings.Root + seg; setByRelease(t, path) {
			o, err := readOrganisation(t, path, seg)
			if err != nil {
				return nil, &DecodeError{Path: path, Err: err}
			}
			r.Organisations = append(r.Organisations, o)
		}
	}
	for _, seg := range sortByOrder(t.Children(settings.RoutesPath), rel.Release.RouteOrder) {
		pacer.Step()
		if path := settings.RoutesPath + settings.Root + seg; setByRelease(t, path) {
			e, _ := t.Effective(path)
			rt, err := readRoute(e, seg)
			if err != nil {
				return nil, &DecodeError{Path: path, Err: err}
			}
			r.Routes = append(r.Routes, rt)
		}
	}
	return r, nil
}

func readService(e *settings.Effective, seg string) (Service, error) {
	s := Service{
		Connections: e.Service.Connections, TLS: e.LeafTLS, WarmUpRate: e.Service.WarmUpRate, Extra: e.Service.UnknownFields,
	}
	var u unescaper
	s.Name = u.text(cmp.Or(e.Service.Name, seg))
	s.HealthPath = u.text(e.Service.HealthPath)
	s.Protocol = u.text(e.Service.Protocol)
	return s, u.err
}

func readRoute(e *settings.Effective, seg string) (Route, error) {
	in := &e.Route
	r := Route{
		Repeatable: !in.NotRepeatable, Timeout: in.Timeout, TargetLatency: in.TargetLatency,
		Priority: in.Priority, MaxAttempts: in.Attempts, Top: in.MaxRecords, MinCoverage: in.MinCoverage,
		Public: in.Public, Extra: in.UnknownFields, AnswerMargin: in.AnswerMargin,
		ReplyBytes: in.ReplyBytes,
	}
	var u unescaper
	r.Name = u.text(cmp.Or(in.Name, seg))
	r.Host = u.text(in.Host)
	r.Prefix = u.text(in.Prefix)
	r.Service = u.text(in.Service)
	r.Shards = u.names(in.Shards)
	r.Regions = u.names(in.Regions)
	r.Split = u.split(in.Split)
	return r, u.err
}

func readOrganisation(t *settings.Tree, path, seg string) (Organisation, error) {
	e, _ := t.Effective(path)
	in := e.Organisation
	o := Organisation{
		Priority: in.Priority, HasPriority: t.Sets(path, settings.NameOrganisationPriority),
		Rate: in.Rate, Burst: in.Burst, Extra: in.UnknownFields,
	}
	var u, keys unescaper
	o.Name = u.text(cmp.Or(in.Name, seg))
	o.Keys = keys.names(in.Keys)
	if keys.err != nil {
		u.setErr(errors.New("a key is not escaped properly")) // keys.err contains the key
	}
	return o, u.err
}

// segmentNames assigns a unique path segment to each route or service name.
type segmentNames struct {
	assigned []string
	taken    map[string]bool
}

func newSegmentNames() segmentNames { return segmentNames{taken: make(map[string]bool)} }

// assign returns the path segment for a name: the name itself if it is a valid
// segment, otherwise a hash of it, which is the same in every release. A segment
// that is already taken gets a numeric suffix.
func (s *segmentNames) assign(name string) string {
	seg := name
	if !settings.IsSegment(seg) {
		var sum [8]byte
		h := xxhash.Sum64String(name)
		for i := range sum {
			sum[i] = byte(h >> (8 * i))
		}
		seg = "x-" + hex.EncodeToString(sum[:])
	}
	for n := 2; s.taken[seg]; n++ {
		seg = strings.TrimSuffix(seg, "."+strconv.Itoa(n-1)) + "." + strconv.Itoa(n)
	}
	s.taken[seg] = true
	s.assigned = append(s.assigned, seg)
	return seg
}

// orderSetting returns the segments in the order of the release, or an empty string
// if that is the sorted order.
func (s *segmentNames) orderSetting() string {
	if slices.IsSorted(s.assigned) {
		return ""
	}
	return strings.Join(s.assigned, ",")
}

// sortByOrder returns names sorted by their position in order; names that are not in
// order come last.
func sortByOrder(names []string, order string) []string {
	if order == "" {
		return names
	}
	position := make(map[string]int)
	for i, name := range strings.Split(order, ",") {
		position[name] = i
	}
	rank := func(name string) int {
		if i, ok := position[name]; ok {
			return i
		}
		return len(position)
	}
	out := slices.Clone(names)
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return out
}

// escapeOrMarkEmpty is settings.EscapeItem for a value that must be stored even if it is empty:
// the empty name becomes "%".
func escapeOrMarkEmpty(name string) string {
	if name == "" {
		return "%"
	}
	return settings.EscapeItem(name)
}

func joinNames(names []string) string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = settings.EscapeItem(n)
	}
	return strings.Join(out, ",")
}

func joinSplit(services []WeightedService) string {
	out := make([]string, len(services))
	for i, p := range services {
		out[i] = settings.EscapeItem(p.Service) + "=" + strconv.FormatFloat(p.Weight, 'g', -1, 64)
	}
	return strings.Join(out, ",")
}

// unescaper reverses settings.EscapeItem and keeps the first error.
type unescaper struct{ err error }

func (u *unescaper) setErr(err error) {
	if u.err == nil {
		u.err = err
	}
}

func (u *unescaper) text(s string) string {
	out, err := settings.UnescapeItem(s)
	if err != nil {
		u.setErr(errors.Wrapf(err, "%q", s))
	}
	return out
}

func (u *unescaper) names(list string) []string {
	if list == "" {
		return nil
	}
	out := strings.Split(list, ",")
	for i := range out {
		out[i] = u.text(out[i])
	}
	return out
}

func (u *unescaper) split(list string) []WeightedService {
	if list == "" {
		return nil
	}
	var out []WeightedService
	for _, item := range strings.Split(list, ",") {
		name, weight, _ := strings.Cut(item, "=")
		w, err := strconv.ParseFloat(weight, 64)
		if err != nil {
			u.setErr(errors.Wrapf(err, "weight %q", item))
		}
		out = append(out, WeightedService{Service: u.text(name), Weight: w})
	}
	return out
}

package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// Limits of what is printed as text.
const (
	maxShownHits    = 20
	maxShownMissing = 20
	maxShownData    = 80 // characters of a hit's data
)

// entryFlags are the flags for reaching the caller ports of entry VMs.
type entryFlags struct {
	urls []string
	ca   string
}

func (f *entryFlags) declare(c *kingpin.CmdClause) {
	c.Flag("entry", "Base URLs of daemons to ask for addresses, separated by commas.").Required().
		Envar("PEARMOOR_ENTRIES").SetValue((*commaList)(&f.urls))
	c.Flag("entry-ca", "PEM file of the authority of https entries; left out: the system's.").StringVar(&f.ca)
}

// tlsConfig returns a TLS configuration that trusts --entry-ca only, or nil to trust
// the system's authorities.
func (f *entryFlags) tlsConfig() (*tls.Config, error) {
	if f.ca == "" {
		return nil, nil
	}
	text, err := os.ReadFile(f.ca)
	if err != nil {
		return nil, errors.Wrap(err, "read --entry-ca")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, usageError("--entry-ca %s holds no PEM certificate", f.ca)
	}
	return &tls.Config{RootCAs: roots}, nil
}

// queryFlags are the flags of the query command.
type queryFlags struct {
	entry            entryFlags
	path             string
	body             string
	deadline         time.Duration
	limit            int
	once             bool
	key              string
	session          string
	minCoverage      float64
	minCoverageSet   bool
	requiredCoverage float64
}

func (a *app) declareQuery(k *kingpin.Application) {
	var f queryFlags
	c := k.Command("query", `Ask a query as a caller would: get the addresses for the path, then query the first that answers.

Example: pearmoor query --entry=http://10.0.0.5:7400 /kathmandu-valley/counter-desk --body='{"q":"letter"}' --limit=3`)
	f.entry.declare(c)
	c.Arg("path", "A query service, or a node above several.").Required().StringVar(&f.path)
	c.Flag("body", "What the targets are asked, as JSON; - reads the standard input.").Required().StringVar(&f.body)
	c.Flag("deadline", "The request's deadline; left out, the tree's deadline-default.").DurationVar(&f.deadline)
	c.Flag("limit", "Most hits wanted; 0 is all.").IntVar(&f.limit)
	c.Flag("once", "Send it as not repeatable: it runs at most once.").BoolVar(&f.once)
	c.Flag("key", "Request key of --once; the same key on a resend. Left out: a new one.").StringVar(&f.key)
	c.Flag("session", "Session of --once; needed, with --key, to resend. Left out: a new one.").StringVar(&f.session)
	c.Flag("min-coverage", "Accept an early answer from this coverage on, 0 to 1, where the tree allows it.").IsSetByUser(&f.minCoverageSet).FloatVar(&f.minCoverage)
	c.Flag("require-coverage", "Exit with 10 if the answer covers less than this, 0 to 1.").FloatVar(&f.requiredCoverage)
	c.Action(func(*kingpin.ParseContext) error { return a.runQuery(&f) })

	var entries entryFlags
	var path string
	c = k.Command("addresses", `Show which entry addresses a caller of a path is told to use, and for how long.

Example: pearmoor addresses --entry=http://10.0.0.5:7400 /kathmandu-valley/counter-desk`)
	entries.declare(c)
	c.Arg("path", "A query service, or a node above several.").Required().StringVar(&path)
	c.Action(func(*kingpin.ParseContext) error {
		entryCaller, err := newCaller(&entries, a.timeout)
		if err != nil {
			return err
		}
		list, err := a.fetchAddresses(entryCaller, entries.urls, path)
		if err != nil {
			return err
		}
		return a.print((*addressList)(list))
	})
}

// fetchAddresses returns the address list for path from the first entry that answers.
func (a *app) fetchAddresses(c *caller, entries []string, path string) (*contract.Addresses, error) {
	var lastErr error
	for _, entry := range entries {
		list, err := c.addresses(a.ctx, entry, path)
		if err == nil {
			return list, nil
		}
		lastErr = err
	}
	return nil, &exitError{code: ExitNotRun, cause: errors.Wrap(lastErr, "no entry VM returned an address list; no request was run")}
}

// request builds the request from the flags, with the body from in for --body=-.
func (f *queryFlags) request(in io.Reader) (*contract.Request, error) {
	body := []byte(f.body)
	if f.body == "-" {
		var err error
		if body, err = io.ReadAll(in); err != nil {
			return nil, errors.Wrap(err, "read the standard input")
		}
	}
	if !json.Valid(body) {
		return nil, usageError("--body is not JSON")
	}
	r := &contract.Request{Path: f.path, Body: body, DeadlineMS: f.deadline.Milliseconds(), Limit: f.limit}
	if f.minCoverageSet {
		r.MinCoverage = &f.minCoverage
	}
	if f.once {
		repeatable := false
		r.Repeatable, r.Key, r.Session = &repeatable, idOrRandom(f.key), f.session
	}
	return r, nil
}

func (a *app) runQuery(f *queryFlags) error {
	r, err := f.request(a.in)
	if err != nil {
		return err
	}
	c, err := newCaller(&f.entry, a.timeout)
	if err != nil {
		return err
	}
	list, err := a.fetchAddresses(c, f.entry.urls, f.path)
	if err != nil {
		return err
	}
	if f.once && r.Session == "" {
		r.Session = list.Session
	}
	answer, err := tryAddresses(a.ctx, c, list.Addresses, r)
	if err != nil {
		return queryError(err, r)
	}
	if err := a.print(&queryResult{Answer: answer, limited: r.Limit > 0}); err != nil {
		return err
	}
	if coverage := answer.Coverage.Fraction(); coverage < f.requiredCoverage {
		return exitErrorf(ExitPartial, "the answer covers %.1f%%, less than --require-coverage", 100*coverage)
	}
	return nil
}

// tryAddresses sends the request to one address after the other until one answers.
// It stops at the first error that every daemon would return, and, unless the request
// is repeatable, as soon as the request may have run.
func tryAddresses(ctx context.Context, c *caller, list []contract.Address, r *contract.Request) (*contract.Answer, error) {
	err := error(exitErrorf(ExitNotRun, "the list of addresses is empty"))
	verdict := contract.NotRun
	for _, address := range list {
		var answer *contract.Answer
		answer, err = c.query(ctx, address.URL, r)
		if err == nil {
			return answer, nil
		}
		verdict = verdict.Combine(verdictOf(err))
		if failsEverywhere(err) || verdict != contract.NotRun && !r.IsRepeatable() {
			break
		}
	}
	return nil, &exitError{code: exitCodeOfVerdict(verdict), cause: err}
}

// failsEverywhere reports whether every other daemon would refuse the request too.
func failsEverywhere(err error) bool {
	var failed *failureResponse
	if !errors.As(err, &failed) {
		return false
	}
	return failed.Reason == contract.ReasonInvalidRequest || failed.Reason == contract.ReasonUnknownPath
}

func exitCodeOfVerdict(v contract.Verdict) int {
	if v == contract.NotRun {
		return ExitNotRun
	}
	return ExitInDoubt
}

// queryError adds the verdict to err and, for a request that is not repeatable, the
// flags that resend it under the same key and session.
func queryError(err error, r *contract.Request) error {
	code := exitCodeOfVerdict(verdictOf(err))
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		code = exitErr.code
	}
	verdict := "the request was not run"
	if code == ExitInDoubt {
		verdict = "the request may have run"
		if !r.IsRepeatable() {
			verdict += fmt.Sprintf("; learn its outcome with --key=%s --session=%s", r.Key, r.Session)
		}
	}
	return &exitError{code: code, cause: errors.Wrap(err, verdict)}
}

// addressList is the output of the addresses command.
type addressList contract.Addresses

func (l *addressList) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s: keep this list for %.1f s\n", l.Service, float64(l.LifetimeMS)/1000)
	rows := make([][]string, len(l.Addresses))
	for i, a := range l.Addresses {
		rows[i] = []string{a.URL, a.VM, a.Domain}
	}
	writeTable(w, "ADDRESS|VM|DOMAIN", rows)
}

// queryResult is the output of the query command.
type queryResult struct {
	*contract.Answer
	limited bool
}

func (r *queryResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "request %s: %s, answered by %s in %.1f ms at configuration %d\n",
		r.RequestID, r.Verdict, r.ServedBy, r.ElapsedMS, r.ConfigVersion)
	early := ""
	if r.Early {
		early = ", early"
	}
	fmt.Fprintf(w, "coverage %d of %d shards (%.1f%%)%s\n", r.Coverage.Answered, r.Coverage.Total, 100*r.Coverage.Fraction(), early)
	r.writeIndexVersions(w)
	r.writeMissing(w)
	r.writeHits(w)
}

// writeIndexVersions writes one line if all services have the same index version,
// otherwise one line for each service.
func (r *queryResult) writeIndexVersions(w io.Writer) {
	var services []string
	versions := make(map[uint64]bool)
	for service, v := range r.IndexVersions {
		services = append(services, service)
		versions[v] = true
	}
	slices.Sort(services)
	if len(versions) == 1 {
		fmt.Fprintf(w, "index version %d over %s\n", r.IndexVersions[services[0]], plural(len(services), "service"))
		return
	}
	for _, service := range services {
		fmt.Fprintf(w, "index version %d of %s\n", r.IndexVersions[service], service)
	}
}

func (r *queryResult) writeMissing(w io.Writer) {
	var rows [][]string
	for _, m := range r.Coverage.Missing[:min(len(r.Coverage.Missing), maxShownMissing)] {
		rows = append(rows, []string{m.Service, fmt.Sprint(m.Shard), string(m.Reason), m.Verdict.String()})
	}
	writeTable(w, "MISSING|SHARD|REASON|VERDICT", rows)
	if more := len(r.Coverage.Missing) - len(rows); more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
}

func (r *queryResult) writeHits(w io.Writer) {
	fmt.Fprint(w, plural(len(r.Hits), "hit"))
	if r.HitsOmitted > 0 {
		fmt.Fprintf(w, ", %d more were left out by the limit", r.HitsOmitted)
	}
	fmt.Fprintln(w)
	var rows [][]string
	for _, h := range r.Hits[:min(len(r.Hits), maxShownHits)] {
		rows = append(rows, []string{h.ID, fmt.Sprintf("%.4g", h.Score), h.Service, fmt.Sprint(h.Shard), truncate(string(h.Data), maxShownData)})
	}
	writeTable(w, "HIT|SCORE|SERVICE|SHARD|DATA", rows)
	if more := len(r.Hits) - len(rows); more > 0 {
		fmt.Fprintf(w, "and %d more; --output=json shows all\n", more)
	}
}

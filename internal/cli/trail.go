package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
)

const (
	auditPageSize = 200 // records requested per call
	maxShownEdits = 20  // edits of one change printed as text
)

// changeRecord is one accepted change of the audit trail.
type changeRecord struct {
	Version     uint64          `json:"version"`
	BaseVersion uint64          `json:"base_version"`
	ChangeID    string          `json:"change_id"`
	Operator    string          `json:"operator"`
	Verified    bool            `json:"verified"` // a certificate vouches for the operator's name
	Reason      string          `json:"reason"`
	AcceptedMS  int64           `json:"accepted_unix_ms"`
	InForceMS   int64           `json:"in_force_unix_ms,omitempty"` // 0: not yet in force everywhere
	Edits       []settings.Edit `json:"edits"`                      // with fingerprints in place of secrets
	Inverse     []settings.Edit `json:"before"`                     // edits that undo the change
}

func newRecord(w *wire.AuditRecord) changeRecord {
	return changeRecord{
		Version:     w.GetVersion(),
		BaseVersion: w.GetBaseVersion(),
		ChangeID:    w.GetChangeId(),
		Operator:    w.GetOperator(),
		Verified:    !w.GetUnauthenticated(),
		Reason:      w.GetReason(),
		AcceptedMS:  w.GetAcceptedUnixMs(),
		InForceMS:   w.GetInForceUnixMs(),
		Edits:       settings.RedactEdits(settings.EditsFromWire(w.GetEdits())),
		Inverse:     settings.RedactEdits(settings.EditsFromWire(w.GetBefore())),
	}
}

// affects reports whether the change edits a node at or below path, or removes one
// above it.
func (r *changeRecord) affects(path string) bool {
	for _, e := range r.Edits {
		if isAtOrBelow(e.Path, path) || e.Op == settings.Remove && isAtOrBelow(path, e.Path) {
			return true
		}
	}
	return false
}

// readAuditPage returns up to limit records in ascending order starting at version
// from, or the newest ones in descending order if from is 0.
func (a *app) readAuditPage(from uint64, limit uint32) ([]changeRecord, error) {
	reply, err := readCall(a, func(ctx context.Context, c wire.DRPCControlClient) (*wire.AuditReply, error) {
		return c.Audit(ctx, &wire.AuditRequest{FromVersion: from, Limit: limit})
	})
	if err != nil {
		return nil, err
	}
	out := make([]changeRecord, len(reply.GetRecords()))
	for i, r := range reply.GetRecords() {
		out[i] = newRecord(r)
	}
	return out, nil
}

// readAuditRecord returns the record of one change, or nil if the audit trail no
// longer holds it.
func (a *app) readAuditRecord(version uint64) (*changeRecord, error) {
	records, err := a.readAuditPage(version, 1)
	if err != nil || len(records) == 0 || records[0].Version != version {
		return nil, err
	}
	return &records[0], nil
}

// auditTrail is the output of the history and audit commands.
type auditTrail struct {
	Records []changeRecord `json:"records"`
	detail  bool
}

// trailFilter selects records of the audit trail.
type trailFilter struct {
	path     string
	operator string
	from     uint64
	limit    int
}

func (a *app) declareTrail(k *kingpin.Application) {
	var historyFilter trailFilter
	c := k.Command("history", `List the changes of a node and what is below it, the newest first.

Example: pearmoor history /kathmandu-valley/counter-desk`)
	c.Arg("path", "The node.").Default(settings.Root).HintAction(a.completePaths).StringVar(&historyFilter.path)
	c.Flag("limit", "Most changes listed.").Default("20").IntVar(&historyFilter.limit)
	c.Action(func(*kingpin.ParseContext) error { return a.printTrail(historyFilter, false) })

	var auditFilter trailFilter
	c = k.Command("audit", `Show the audit trail: who changed what, from which value to which, when, why, and when it was in force everywhere.

Example: pearmoor audit --limit=5

Example: pearmoor audit --from=120 --by=asha --output=json`)
	c.Flag("path", "Changes at this node and below it only.").Default(settings.Root).StringVar(&auditFilter.path)
	c.Flag("by", "Changes of this operator only.").StringVar(&auditFilter.operator)
	c.Flag("from", "First version shown, upwards; left out: the newest first.").Uint64Var(&auditFilter.from)
	c.Flag("limit", "Most changes shown.").Default("20").IntVar(&auditFilter.limit)
	c.Action(func(*kingpin.ParseContext) error { return a.printTrail(auditFilter, true) })
}

func (a *app) printTrail(f trailFilter, detail bool) error {
	if f.limit <= 0 {
		return usageError("--limit must be at least 1")
	}
	out := &auditTrail{detail: detail, Records: []changeRecord{}}
	var err error
	if f.from > 0 {
		err = a.collectAscending(f, out)
	} else {
		err = a.collectDescending(f, out)
	}
	if err != nil {
		return err
	}
	return a.print(out)
}

// appendMatching appends the records that match the filter to out, and reports
// whether the limit is reached.
func (f *trailFilter) appendMatching(out *auditTrail, records []changeRecord) (full bool) {
	for _, r := range records {
		if len(out.Records) == f.limit {
			return true
		}
		if r.affects(f.path) && (f.operator == "" || r.Operator == f.operator) {
			out.Records = append(out.Records, r)
		}
	}
	return len(out.Records) == f.limit
}

// collectAscending reads pages from version f.from on, oldest change first.
func (a *app) collectAscending(f trailFilter, out *auditTrail) error {
	for from := f.from; ; {
		records, err := a.readAuditPage(from, auditPageSize)
		if err != nil || len(records) == 0 || f.appendMatching(out, records) {
			return err
		}
		from = records[len(records)-1].Version + 1
	}
}

// collectDescending reads pages from the newest change backwards. The control VMs
// return only the newest page in descending order; earlier pages are read in
// ascending order and reversed.
func (a *app) collectDescending(f trailFilter, out *auditTrail) error {
	records, err := a.readAuditPage(0, auditPageSize)
	for {
		if err != nil || len(records) == 0 || f.appendMatching(out, records) {
			return err
		}
		oldest := records[len(records)-1].Version
		if oldest <= 1 {
			return nil
		}
		records, err = a.readAuditPageBefore(oldest)
	}
}

// readAuditPageBefore returns the page that ends before version, newest change first.
func (a *app) readAuditPageBefore(version uint64) ([]changeRecord, error) {
	from, limit := uint64(1), version-1
	if limit > auditPageSize {
		from, limit = version-auditPageSize, auditPageSize
	}
	page, err := a.readAuditPage(from, uint32(limit))
	var out []changeRecord
	for i := len(page) - 1; i >= 0; i-- {
		if page[i].Version < version {
			out = append(out, page[i])
		}
	}
	return out, err
}

func (t *auditTrail) writeText(w io.Writer) {
	if t.detail {
		for i := range t.Records {
			t.Records[i].writeDetail(w)
		}
		return
	}
	rows := make([][]string, len(t.Records))
	for i, r := range t.Records {
		rows[i] = []string{fmt.Sprint(r.Version), formatTime(r.AcceptedMS), formatOperator(r.Operator, r.Verified),
			plural(len(r.Edits), "edit"), r.Reason}
	}
	writeTable(w, "VERSION|WHEN|BY|WHAT|WHY", rows)
}

func (r *changeRecord) writeDetail(w io.Writer) {
	fmt.Fprintf(w, "version %d by %s, %s\n", r.Version, formatOperator(r.Operator, r.Verified), formatTime(r.AcceptedMS))
	fmt.Fprintf(w, "  why: %s\n", r.Reason)
	if r.InForceMS > 0 {
		fmt.Fprintf(w, "  in force everywhere after %d ms\n", r.InForceMS-r.AcceptedMS)
	} else {
		fmt.Fprintln(w, "  not yet in force everywhere")
	}
	for _, e := range r.Edits[:min(len(r.Edits), maxShownEdits)] {
		fmt.Fprintf(w, "  %s\n", r.formatEditWithOldValue(e))
	}
	if more := len(r.Edits) - maxShownEdits; more > 0 {
		fmt.Fprintf(w, "  and %d more; --output=json shows all\n", more)
	}
}

// formatEditWithOldValue formats an edit with the value that it replaced.
func (r *changeRecord) formatEditWithOldValue(e settings.Edit) string {
	text := formatEdit(e)
	if e.Op == settings.Remove {
		return text
	}
	for _, b := range r.Inverse {
		if b.Path == e.Path && b.Name == e.Name && b.Op == settings.Set {
			return text + " (was " + truncate(b.Value, maxShownValueLength) + ")"
		}
	}
	return text + " (was not stated)"
}

package quarantine

import (
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/settings"
)

// Cases maps fingerprints to their cases, as agreed by the control group.
type Cases map[Fingerprint]Case

// maxDescriptionLen bounds the description of a request, in bytes.
const maxDescriptionLen = 200

// CasesFromTree reads the cases stored in a settings tree. Invalid nodes are logged and
// skipped.
func CasesFromTree(t *settings.Tree) Cases {
	names := t.Children(settings.QuarantinePath)
	out := make(Cases, len(names))
	for _, name := range names {
		f, err := ParseFingerprint(name)
		if err != nil {
			klog.Warningf("quarantine: ignoring invalid node %s/%s: %v", settings.QuarantinePath, name, err)
			continue
		}
		e, _ := t.Effective(casePath(f))
		q := &e.Quarantine
		lastReport, err := time.Parse(time.RFC3339, q.LastSeen)
		if err != nil && q.LastSeen != "" {
			klog.Warningf("quarantine: %s has an invalid time of its last report and will be evicted first: %v", casePath(f), err)
		}
		out[f] = Case{LeafExits: q.LeafExits, CrashedAttempts: q.CrashedAttempts, UnansweredAttempts: q.UnansweredAttempts, Variants: q.Variants, Blocked: q.Blocked, Description: q.Request, LastReport: lastReport}
	}
	return out
}

func casePath(f Fingerprint) string {
	return settings.QuarantinePath + settings.Root + f.String()
}

// Edits returns the edits that apply the changes to the settings tree.
func Edits(changes []Change) []settings.Edit {
	var out []settings.Edit
	for _, c := range changes {
		path := casePath(c.Fingerprint)
		if c.Cleared || c.Evicted {
			out = append(out, settings.Edit{Path: path, Op: settings.Remove})
			continue
		}
		set := func(name, value string) {
			if value != "" {
				out = append(out, settings.Edit{Path: path, Name: name, Value: value, Op: settings.Set})
			}
		}
		set(settings.NameQuarantineRequest, sanitizeDescription(c.After.Description))
		set(settings.NameQuarantineLeafEnds, strconv.Itoa(c.After.LeafExits))
		set(settings.NameQuarantineCrashes, strconv.Itoa(c.After.CrashedAttempts))
		set(settings.NameQuarantineAttempts, strconv.Itoa(c.After.UnansweredAttempts))
		set(settings.NameQuarantineVariants, strconv.Itoa(c.After.Variants))
		set(settings.NameQuarantineBlocked, strconv.FormatBool(c.After.Blocked))
		set(settings.NameQuarantineSeen, c.After.LastReport.Format(time.RFC3339))
	}
	return out
}

// sanitizeDescription makes a description that contains text from a caller safe to store in
// the tree: valid UTF-8, printable and of bounded length.
func sanitizeDescription(text string) string {
	text = strings.ToValidUTF8(text, "?")
	text = strings.Map(func(r rune) rune {
		if !strconv.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
	if len(text) > maxDescriptionLen {
		text = strings.ToValidUTF8(text[:maxDescriptionLen], "")
	}
	return strings.TrimSpace(text)
}

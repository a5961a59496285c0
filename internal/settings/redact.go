package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"pearmoor/internal/link/wire"
)

const (
	// fingerprintBytes is the length of the part of a digest that may be shown.
	fingerprintBytes = 4
	// redactedPrefix marks a value shown as fingerprints. A key list has no blank, so that a
	// redacted value is refused where keys are expected, and is not redacted twice.
	redactedPrefix = "fingerprint "
)

// Fingerprint returns the text that stands for a secret: the first 8 hex digits of its
// SHA-256 digest.
func Fingerprint(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// isSecret reports whether values of a setting may not be shown. That includes settings of
// organisations that this release does not know: the name of organisation-keys may be
// misspelt, and a later release may have other secrets.
func isSecret(path, name string) bool {
	if s, ok := currentSchema.lookup(name); ok {
		return s.Secret
	}
	return IsWithin(path, OrganisationsPath) || strings.HasPrefix(name, organisationPrefix)
}

// organisationPrefix is the prefix of the names of the settings of organisations.
const organisationPrefix = "organisation"

// displayValue returns the text that is shown for a value of a setting at a path.
func displayValue(path, name, text string) string {
	if text == "" || !isSecret(path, name) {
		return text
	}
	return redact(name, text)
}

func redact(name, text string) string {
	if isRedacted(text) {
		return text
	}
	s, ok := currentSchema.lookup(name)
	if !ok || s.Kind != KeyList {
		return redactedPrefix + Fingerprint(text)
	}
	items := strings.Split(text, ",")
	for i, item := range items {
		item = strings.TrimSpace(item)
		if key, err := UnescapeItem(item); err == nil {
			item = key
		}
		items[i] = Fingerprint(item)
	}
	return redactedPrefix + strings.Join(items, ",")
}

// isRedacted reports whether text consists of fingerprints only.
func isRedacted(text string) bool {
	list, ok := strings.CutPrefix(text, redactedPrefix)
	if !ok {
		return false
	}
	for item := range strings.SplitSeq(list, ",") {
		if len(item) != hex.EncodedLen(fingerprintBytes) || strings.Trim(item, "0123456789abcdef") != "" {
			return false
		}
	}
	return true
}

// RedactEdits returns edits for display, with fingerprints in place of secret values.
func RedactEdits(edits []Edit) []Edit {
	out := edits
	for i, e := range edits {
		if shown := displayValue(e.Path, e.Name, e.Value); shown != e.Value {
			if &out[0] == &edits[0] {
				out = slices.Clone(edits)
			}
			out[i].Value = shown
		}
	}
	return out
}

// IsRedacted reports whether a value of edits is shown as fingerprints, so that the edits
// cannot be applied.
func IsRedacted(edits []Edit) bool {
	return slices.ContainsFunc(edits, func(e Edit) bool { return isSecret(e.Path, e.Name) && isRedacted(e.Value) })
}

// RedactWireEdits is RedactEdits for protobuf messages, which it does not modify.
func RedactWireEdits(edits []*wire.Edit) []*wire.Edit {
	out := edits
	for i, e := range edits {
		if shown := displayValue(e.GetPath(), e.GetName(), e.GetValue()); shown != e.GetValue() {
			if &out[0] == &edits[0] {
				out = slices.Clone(edits)
			}
			out[i] = &wire.Edit{Path: e.Path, Name: e.Name, Value: shown, Op: e.Op}
		}
	}
	return out
}

// RedactRecord returns a record of the audit trail for display and for the trail's file.
// It returns r itself if r holds no secret.
func RedactRecord(r *wire.AuditRecord) *wire.AuditRecord {
	edits, before := RedactWireEdits(r.Edits), RedactWireEdits(r.Before)
	if identicalSlices(edits, r.Edits) && identicalSlices(before, r.Before) {
		return r
	}
	return &wire.AuditRecord{
		Version: r.Version, ChangeId: r.ChangeId, Operator: r.Operator, Reason: r.Reason,
		AcceptedUnixMs: r.AcceptedUnixMs, InForceUnixMs: r.InForceUnixMs, Edits: edits, Before: before,
		Unauthenticated: r.Unauthenticated, BaseVersion: r.BaseVersion,
	}
}

package route

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Organisation is a customer whose requests carry one of its API keys.
type Organisation struct {
	Name string   `json:"name"`
	Keys []string `json:"keys,omitempty"` // secret: never logged or shown
	// Priority replaces the priority of the route if HasPriority is set; 0 is the highest.
	Priority    int  `json:"priority,omitempty"`
	HasPriority bool `json:"has_priority,omitempty"`
	// Rate, in requests per second, and Burst bound the organisation's requests at all daemons
	// together; Rate 0: not limited.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	Extra string  `json:"extra,omitempty"`
}

// String returns the organisation with fingerprints in place of its keys, so that keys do not
// get into logs and test output.
func (o Organisation) String() string {
	fingerprints := make([]string, len(o.Keys))
	for i, key := range o.Keys {
		fingerprints[i] = DigestKey(key).Fingerprint()
	}
	return fmt.Sprintf("{Name:%q Keys:%v Priority:%d HasPriority:%t Rate:%v Burst:%v}", o.Name, fingerprints, o.Priority, o.HasPriority, o.Rate, o.Burst)
}

// KeyDigest identifies an API key without revealing it.
type KeyDigest [16]byte

// DigestKey returns the digest of an API key. It does not allocate.
func DigestKey(key string) KeyDigest {
	var buf [128]byte
	var sum [sha256.Size]byte
	if len(key) <= len(buf) {
		sum = sha256.Sum256(buf[:copy(buf[:], key)])
	} else {
		sum = sha256.Sum256([]byte(key))
	}
	return KeyDigest(sum[:len(KeyDigest{})])
}

// fingerprintBytes is the length of the part of a digest that may be shown.
const fingerprintBytes = 4

// Fingerprint returns the text that stands for the key in logs and on screens.
func (d KeyDigest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// IsZero reports whether d is the digest of no key.
func (d KeyDigest) IsZero() bool { return d == KeyDigest{} }

// RequiresKeys reports whether requests on routes that are not public need an API key.
func (t *Table) RequiresKeys() bool { return t.keysRequired }

// OrganisationByKey returns the organisation that holds the key with the given digest.
func (t *Table) OrganisationByKey(d KeyDigest) (*Organisation, bool) {
	o, ok := t.organisationsByKey[d]
	return o, ok
}

// Organisation returns the organisation with the given name.
func (t *Table) Organisation(name string) (*Organisation, bool) {
	o, ok := t.organisations[name]
	return o, ok
}

// setOrganisations fills the lookup tables of the organisations of r.
func (t *Table) setOrganisations(r *Release) {
	t.keysRequired = r.KeysRequired
	t.organisations = make(map[string]*Organisation, len(r.Organisations))
	keys := 0
	for i := range r.Organisations {
		keys += len(r.Organisations[i].Keys)
	}
	t.organisationsByKey = make(map[KeyDigest]*Organisation, keys)
	for i := range r.Organisations {
		o := &r.Organisations[i]
		t.organisations[o.Name] = o
		for _, key := range o.Keys {
			t.organisationsByKey[DigestKey(key)] = o
		}
	}
}

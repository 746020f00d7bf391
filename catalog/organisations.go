package catalog

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// KeyHash is the SHA-256 of a key that callers authenticate with. The keys themselves are
// not kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// keyPrefixBytes is the length of the part of a hash that logs show.
const keyPrefixBytes = 4

// String returns the first bytes of the hash in hexadecimal digits, which identify the key
// in logs.
func (h KeyHash) String() string { return hex.EncodeToString(h[:keyPrefixBytes]) }

// Organisation is a customer whose callers authenticate with its keys.
type Organisation struct {
	Name string
	Keys []KeyHash
	// Priority replaces the priority of the route if HasPriority is true; 0 is the most
	// urgent.
	Priority    int
	HasPriority bool
	// Rate and Burst bound the requests of the organisation at all processes together: Rate
	// is the number per second, Burst the number beyond it. A Rate of zero means no bound.
	Rate  float64
	Burst float64
}

// Limited reports whether the organisation has a quota.
func (o *Organisation) Limited() bool { return o != nil && o.Rate > 0 }

// Organisations holds the organisations of one version of the configuration.
type Organisations struct {
	byKey  map[KeyHash]*Organisation
	byName map[string]*Organisation
}

// newOrganisations returns nil if the configuration has no organisations.
func newOrganisations(c *Config) *Organisations {
	if len(c.Organisations) == 0 {
		return nil
	}
	t := &Organisations{byKey: map[KeyHash]*Organisation{}, byName: map[string]*Organisation{}}
	for _, o := range c.Organisations {
		t.byName[o.Name] = o
		for _, k := range o.Keys {
			t.byKey[k] = o
		}
	}
	return t
}

// Holder returns the organisation that holds a key, or nil.
func (t *Organisations) Holder(key KeyHash) *Organisation {
	if t == nil {
		return nil
	}
	return t.byKey[key]
}

// Named returns the organisation with the name, or nil.
func (t *Organisations) Named(name string) *Organisation {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// HeldKey is a key with the name of the organisation that holds it.
type HeldKey struct {
	Organisation string
	Key          KeyHash
}

// Without returns the keys that are missing from later organisations, by organisation.
func (t *Organisations) Without(later *Organisations) []HeldKey {
	if t == nil {
		return nil
	}
	var missing []HeldKey
	for key, o := range t.byKey {
		if later.Holder(key) == nil {
			missing = append(missing, HeldKey{o.Name, key})
		}
	}
	slices.SortFunc(missing, func(a, b HeldKey) int {
		return cmp.Or(strings.Compare(a.Organisation, b.Organisation), bytes.Compare(a.Key[:], b.Key[:]))
	})
	return missing
}

// KeyCount returns the number of keys of all organisations.
func (t *Organisations) KeyCount() int {
	if t == nil {
		return 0
	}
	return len(t.byKey)
}

// Each calls f for each organisation.
func (t *Organisations) Each(f func(*Organisation)) {
	if t == nil {
		return
	}
	for _, o := range t.byName {
		f(o)
	}
}

// Len returns the number of organisations.
func (t *Organisations) Len() int {
	if t == nil {
		return 0
	}
	return len(t.byName)
}

// validateOrganisations returns an error that names the first organisation that makes the
// configuration unusable, or nil. It never contains a key.
func (c *Config) validateOrganisations() error {
	names, holders := map[string]bool{}, map[KeyHash]string{}
	for i, o := range c.Organisations {
		if o == nil {
			return errors.NotValidf("empty organisation %d", i)
		}
		if o.Name == "" {
			return errors.NotValidf("organisation %d without a name", i)
		}
		if !validHeaderValue(o.Name) {
			return errors.NotValidf("organisation %q: the name, which is sent in a header,", o.Name)
		}
		if names[o.Name] {
			return errors.NotValidf("organisation %q that occurs twice", o.Name)
		}
		names[o.Name] = true
		if !validQuantity(o.Rate) || !validQuantity(o.Burst) {
			return errors.NotValidf("organisation %q: rate %v, burst %v", o.Name, o.Rate, o.Burst)
		}
		for _, k := range o.Keys {
			if k == HashKey("") {
				return errors.NotValidf("organisation %q: empty key", o.Name)
			}
			if other, held := holders[k]; held && other != o.Name {
				return errors.NotValidf("organisation %q: key %v, which %q holds", o.Name, k, other)
			}
			holders[k] = o.Name
		}
	}
	return nil
}

// validHeaderValue reports whether a header can carry a text unchanged.
func validHeaderValue(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] == 0x7f {
			return false
		}
	}
	return strings.Trim(text, " ") == text
}

func validQuantity(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }

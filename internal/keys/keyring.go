// Package keys generates API keys and finds the operator that a key belongs to.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// secretBytes is the size of the random part, large enough that a key cannot be guessed; see
	// fireflypath.Key.
	secretBytes = 32
	// prefix lets people and secret scanners recognize a leaked key.
	prefix = "fp_"
)

// Generate returns a new key and its hash, which is what the configuration stores.
func Generate() (key, hash string) {
	var raw [secretBytes]byte
	// Read never returns an error: crypto/rand terminates the program instead.
	_, _ = rand.Read(raw[:])
	key = prefix + base64.RawURLEncoding.EncodeToString(raw[:])
	return key, Hash(key)
}

// Hash returns the lower-case hexadecimal SHA-256 of a key.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Keyring finds operators by their keys. It reads the configuration in force with one atomic load,
// and caches an index of it until the configuration changes.
type Keyring struct {
	configs fireflypath.Configs
	index   atomic.Pointer[index]
}

// New returns a keyring for the operators of the configuration in force.
func New(configs fireflypath.Configs) *Keyring {
	return &Keyring{configs: configs}
}

// index contains the operators' keys of one configuration.
type index struct {
	cfg *fireflypath.Config
	// byPrefix finds keys by the first bytes of their hash. The whole hash is then compared in
	// constant time, so that response times do not reveal how much of a guessed hash is correct;
	// a caller cannot choose the hash of its key anyway.
	byPrefix map[hashPrefix][]entry
}

type hashPrefix [4]byte

type entry struct {
	hash     [sha256.Size]byte
	until    time.Time
	operator fireflypath.Operator
}

// Operator returns the operator that the key belongs to, or nil if the key is unknown or expired.
func (k *Keyring) Operator(key string, now time.Time) *fireflypath.Operator {
	if key == "" {
		return nil // a request without a key, even if a hash of nothing is configured
	}
	sum := sha256.Sum256([]byte(key))
	candidates := k.currentIndex().byPrefix[hashPrefix(sum[:4])]
	for i := range candidates {
		e := &candidates[i]
		if subtle.ConstantTimeCompare(e.hash[:], sum[:]) == 1 && isValid(e.until, now) {
			return &e.operator
		}
	}
	return nil
}

// isValid reports whether a key that expires at the given time is still valid. The zero time means
// that it does not expire.
func isValid(until, now time.Time) bool {
	return until.IsZero() || now.Before(until)
}

// currentIndex returns the index of the configuration in force, and builds it if necessary.
func (k *Keyring) currentIndex() *index {
	cfg := k.configs.Current()
	if cached := k.index.Load(); cached != nil && cached.cfg == cfg {
		return cached
	}
	idx := &index{cfg: cfg, byPrefix: make(map[hashPrefix][]entry)}
	for _, o := range cfg.Operators {
		for _, key := range o.Keys {
			idx.add(o, key)
		}
	}
	k.index.Store(idx)
	return idx
}

// add indexes a key of an operator. A hash that cannot be decoded is skipped.
func (i *index) add(o fireflypath.Operator, key fireflypath.Key) {
	e := entry{until: key.Until, operator: o}
	decoded, err := hex.DecodeString(key.Hash)
	if err != nil || len(decoded) != sha256.Size {
		return
	}
	copy(e.hash[:], decoded)
	i.byPrefix[hashPrefix(decoded[:4])] = append(i.byPrefix[hashPrefix(decoded[:4])], e)
}

// Bearer returns the token of an Authorization header, or "" if its scheme is not Bearer.
func Bearer(header string) string {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

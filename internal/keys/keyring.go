// Package keys tells who holds a key and slows those who guess.
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
	// secretBytes makes a key that cannot be guessed; see fireflypath.Key.
	secretBytes = 32
	// prefix lets people and secret scanners see what a leaked string is.
	prefix = "fp_"
)

// Generate makes a key and the hash that the configuration holds.
func Generate() (key, hash string) {
	var raw [secretBytes]byte
	// Read never fails: crypto/rand ends the program instead.
	_, _ = rand.Read(raw[:])
	key = prefix + base64.RawURLEncoding.EncodeToString(raw[:])
	return key, Hash(key)
}

// Hash is the lower-case hexadecimal SHA-256 of a key.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Keyring finds operators by their keys. It reads the configuration in force
// with one atomic load and keeps an index of it until the next generation.
type Keyring struct {
	configs fireflypath.Configs
	index   atomic.Pointer[index]
}

// New returns the keyring of the configuration in force.
func New(configs fireflypath.Configs) *Keyring {
	return &Keyring{configs: configs}
}

// index holds the operators' keys of one configuration.
type index struct {
	cfg *fireflypath.Config
	// byTag finds keys by the first bytes of their hash. The rest is compared
	// in constant time, so that the time of an answer does not tell how much of
	// a guessed hash is right; a caller cannot choose the hash of its key anyway.
	byTag map[tag][]holder
}

type tag [4]byte

type holder struct {
	hash     [sha256.Size]byte
	until    time.Time
	operator fireflypath.Operator
}

// Operator returns the holder of a key that is valid now, or nil.
func (k *Keyring) Operator(key string, now time.Time) *fireflypath.Operator {
	sum := sha256.Sum256([]byte(key))
	candidates := k.current().byTag[tag(sum[:4])]
	for i := range candidates {
		h := &candidates[i]
		if subtle.ConstantTimeCompare(h.hash[:], sum[:]) == 1 && valid(h.until, now) {
			return &h.operator
		}
	}
	return nil
}

func valid(until, now time.Time) bool {
	return until.IsZero() || now.Before(until)
}

func (k *Keyring) current() *index {
	cfg := k.configs.Current()
	if idx := k.index.Load(); idx != nil && idx.cfg == cfg {
		return idx
	}
	idx := &index{cfg: cfg, byTag: make(map[tag][]holder)}
	for _, o := range cfg.Operators {
		for _, key := range o.Keys {
			idx.add(o, key)
		}
	}
	k.index.Store(idx)
	return idx
}

func (i *index) add(o fireflypath.Operator, key fireflypath.Key) {
	h := holder{until: key.Until, operator: o}
	raw, err := hex.DecodeString(key.Hash)
	if err != nil || len(raw) != sha256.Size {
		return
	}
	copy(h.hash[:], raw)
	i.byTag[tag(raw[:4])] = append(i.byTag[tag(raw[:4])], h)
}

// Bearer takes the key out of an Authorization header.
func Bearer(header string) string {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

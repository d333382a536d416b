package command

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/syntax"
)

const (
	hashBytes = 32
	// minPrefix is the shortest part of a hash that "revoke key" takes: 8
	// digits are 32 bits, so that among 30,000 teams' keys a prefix is seldom
	// ambiguous, and an ambiguous one is refused.
	minPrefix = 8
)

// key adds a key by its hash. The client makes the key and sends only the hash,
// so that a lost answer does not lose the key, and no daemon, log or trail ever
// holds it.
func (c *compiler) key(k *key) {
	hash, ok := c.one(k.Hash)
	if !ok {
		owner := k.owner()
		c.fail(owner, "the key's hash is missing: the client adds it, or give hash and the SHA-256 of the key")
		return
	}
	if raw, err := hex.DecodeString(hash.Text); err != nil || len(raw) != hashBytes {
		c.fail(hash, "expected the SHA-256 of a key, 64 hexadecimal digits")
	}
	var overlap time.Duration
	c.duration(k.Overlap, func(d time.Duration) { overlap = d })
	added := fireflypath.Key{Hash: strings.ToLower(hash.Text)}
	c.add(func(e *edit) {
		if keys := k.keys(e); keys != nil {
			*keys = rotate(*keys, added, overlap, e.now)
		}
	})
}

func (k *key) owner() syntax.Word {
	if k.Team != nil {
		return *k.Team
	}
	return *k.Operator
}

func (k *key) keys(e *edit) *[]fireflypath.Key {
	if k.Team != nil {
		if t := e.teams.get(e, k.Team.Text); t != nil {
			return &t.Keys
		}
		return nil
	}
	if o := e.operators.get(e, k.Operator.Text); o != nil {
		return &o.Keys
	}
	return nil
}

// rotate adds a key. With an overlap the older keys end after it; keys that
// have ended are dropped.
func rotate(old []fireflypath.Key, added fireflypath.Key, overlap time.Duration, now time.Time) []fireflypath.Key {
	var out []fireflypath.Key
	for _, k := range old {
		if !k.Until.IsZero() && !k.Until.After(now) {
			continue
		}
		if overlap > 0 && (k.Until.IsZero() || k.Until.After(now.Add(overlap))) {
			k.Until = now.Add(overlap)
		}
		out = append(out, k)
	}
	return append(out, added)
}

func (c *compiler) revoke(hash syntax.Word) {
	prefix := strings.ToLower(hash.Text)
	if len(prefix) < minPrefix || strings.Trim(prefix, "0123456789abcdef") != "" {
		c.fail(hash, "expected at least 8 hexadecimal digits of the key's hash")
		return
	}
	c.add(func(e *edit) { e.revoke(prefix) })
}

// revoke removes the one key whose hash begins with the prefix.
func (e *edit) revoke(prefix string) {
	var found []*[]fireflypath.Key
	match := func(k fireflypath.Key) bool { return strings.HasPrefix(k.Hash, prefix) }
	for i := range e.teams.list {
		if slices.ContainsFunc(e.teams.list[i].Keys, match) {
			found = append(found, &e.teams.list[i].Keys)
		}
	}
	for i := range e.operators.list {
		if slices.ContainsFunc(e.operators.list[i].Keys, match) {
			found = append(found, &e.operators.list[i].Keys)
		}
	}
	if len(found) != 1 {
		e.problems.Add("key "+prefix, "matches the keys of %d owners, not one", len(found))
		return
	}
	left := slices.DeleteFunc(slices.Clone(*found[0]), match)
	if len(*found[0])-len(left) != 1 {
		e.problems.Add("key "+prefix, "matches several keys of one owner")
		return
	}
	*found[0] = left
}

// AddKeyHashes gives every key command of a text that names no hash one, made by the
// given function for its owner, and returns the text with the hashes in it.
func AddKeyHashes(text string, hash func(owner string) string) (string, error) {
	parsed, err := language.Parse(text)
	if err != nil {
		return "", err
	}
	// From the last to the first, so that places before stay as they are.
	for _, cmd := range slices.Backward(parsed.Commands) {
		if cmd.Key == nil || len(cmd.Key.Hash) > 0 {
			continue
		}
		owner := cmd.Key.owner()
		end := owner.Pos.Offset + len(owner.Text)
		if text[owner.Pos.Offset] == '"' {
			end += len(`""`)
		}
		text = text[:end] + " hash " + hash(cmd.Key.title()) + text[end:]
	}
	return text, nil
}

func (k *key) title() string {
	if k.Team != nil {
		return "team " + k.Team.Text
	}
	return "operator " + k.Operator.Text
}

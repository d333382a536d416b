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
	hashLength = 32
	// minHashPrefix is the length of the shortest hash prefix that "revoke key"
	// accepts. 8 digits are 32 bits, so a prefix is rarely ambiguous among the keys
	// of 30,000 teams. An ambiguous prefix is refused.
	minHashPrefix = 8
)

// compileKey adds a key by its hash. The client generates the key and sends only the
// hash, so that a lost response does not lose the key, and the key never appears in a
// daemon, a log or the audit trail.
func (c *compiler) compileKey(k *key) {
	hash, ok := c.single(k.Hash)
	if !ok {
		owner := k.owner()
		c.fail(owner, "the key's hash is missing: the client adds it, or give hash and the SHA-256 of the key")
		return
	}
	if raw, err := hex.DecodeString(hash.Text); err != nil || len(raw) != hashLength {
		c.fail(hash, "expected the SHA-256 of a key, 64 hexadecimal digits")
	}
	var overlap time.Duration
	c.durationField(k.Overlap, func(d time.Duration) { overlap = d })
	added := fireflypath.Key{Hash: strings.ToLower(hash.Text)}
	c.addStep(func(e *edit) {
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

// rotate adds a key and removes expired ones. If overlap is positive, older keys expire
// after that time at the latest.
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

func (c *compiler) compileRevoke(hash syntax.Word) {
	prefix := strings.ToLower(hash.Text)
	if len(prefix) < minHashPrefix || strings.Trim(prefix, "0123456789abcdef") != "" {
		c.fail(hash, "expected at least 8 hexadecimal digits of the key's hash")
		return
	}
	c.addStep(func(e *edit) { e.revokeKey(prefix) })
}

// revokeKey removes the only key whose hash starts with the prefix. It is a problem if
// there is none or more than one.
func (e *edit) revokeKey(prefix string) {
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
	remaining := slices.DeleteFunc(slices.Clone(*found[0]), match)
	if len(*found[0])-len(remaining) != 1 {
		e.problems.Add("key "+prefix, "matches several keys of one owner")
		return
	}
	*found[0] = remaining
}

// AddKeyHashes adds a hash to every key command in text that has none, and returns the
// new text. It calls hash with the owner of the key, such as "team traders".
func AddKeyHashes(text string, hash func(owner string) string) (string, error) {
	parsed, err := language.Parse(text)
	if err != nil {
		return "", err
	}
	// Insert from the end, so that the positions of earlier commands stay valid.
	for _, cmd := range slices.Backward(parsed.Commands) {
		if cmd.Key == nil || len(cmd.Key.Hash) > 0 {
			continue
		}
		owner := cmd.Key.owner()
		end := owner.Pos.Offset + len(owner.Text)
		if text[owner.Pos.Offset] == '"' {
			end += len(`""`)
		}
		text = text[:end] + " hash " + hash(cmd.Key.ownerSubject()) + text[end:]
	}
	return text, nil
}

func (k *key) ownerSubject() string {
	if k.Team != nil {
		return "team " + k.Team.Text
	}
	return "operator " + k.Operator.Text
}

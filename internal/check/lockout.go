package check

import "github.com/fireflypath/fireflypath"

// lockout refuses a change after which nobody could send requests, or nobody
// could make the next change. Without it one wrong "delete" or "revoke" would
// close the door from inside: hosts keep nothing, so there is no file to mend.
// A configuration that never had teams or operators is not locked.
func (c *checker) lockout(old *fireflypath.Config) {
	if len(old.Teams) > 0 && len(c.cfg.Teams) == 0 {
		c.problems.Add("teams", "would all be gone: every caller would be locked out")
	}
	if teamKeys(old) && len(c.cfg.Teams) > 0 && !teamKeys(c.cfg) {
		c.problems.Add("teams", "would have no valid key left: every caller would be locked out")
	}
	if len(old.Operators) > 0 && len(c.cfg.Operators) == 0 {
		c.problems.Add("operators", "would all be gone: anybody on the host could make changes")
	}
	if len(c.cfg.Operators) > 0 && !changers(c.cfg) {
		c.problems.Add("operators", "would have no valid key with the role change or order: no further change could be made")
	}
}

func teamKeys(cfg *fireflypath.Config) bool {
	for i := range cfg.Teams {
		if lasting(cfg.Teams[i].Keys) {
			return true
		}
	}
	return false
}

func changers(cfg *fireflypath.Config) bool {
	for _, o := range cfg.Operators {
		if o.Role != fireflypath.RoleAsk && lasting(o.Keys) {
			return true
		}
	}
	return false
}

// lasting is true if a key has no end. A key with an end is being rotated out;
// when it is the last one, the door closes at its end instead of now.
func lasting(keys []fireflypath.Key) bool {
	for _, k := range keys {
		if k.Until.IsZero() {
			return true
		}
	}
	return false
}

package check

import "github.com/fireflypath/fireflypath"

// checkLockout refuses a change after which nobody could send requests or make further
// changes, such as a wrong "delete" or "revoke". Such a change could not be repaired,
// because hosts do not store the configuration in a file that could be edited. A
// configuration that never had teams or operators passes.
func (c *checker) checkLockout(old *fireflypath.Config) {
	if len(old.Teams) > 0 && len(c.cfg.Teams) == 0 {
		c.problems.Add("teams", "would all be gone: every caller would be locked out")
	}
	if hasTeamWithPermanentKey(old) && len(c.cfg.Teams) > 0 && !hasTeamWithPermanentKey(c.cfg) {
		c.problems.Add("teams", "would have no valid key left: every caller would be locked out")
	}
	if len(old.Operators) > 0 && len(c.cfg.Operators) == 0 {
		c.problems.Add("operators", "would all be gone: anybody on the host could make changes")
	}
	if len(c.cfg.Operators) > 0 && !hasOperatorWhoCanChange(c.cfg) {
		c.problems.Add("operators", "would have no valid key with the role change or order: no further change could be made")
	}
}

func hasTeamWithPermanentKey(cfg *fireflypath.Config) bool {
	for i := range cfg.Teams {
		if hasPermanentKey(cfg.Teams[i].Keys) {
			return true
		}
	}
	return false
}

func hasOperatorWhoCanChange(cfg *fireflypath.Config) bool {
	for _, o := range cfg.Operators {
		if o.Role != fireflypath.RoleAsk && hasPermanentKey(o.Keys) {
			return true
		}
	}
	return false
}

// hasPermanentKey reports whether one of the keys does not expire. A key that expires is
// being replaced; if it were the only one, the lockout would happen when it expires.
func hasPermanentKey(keys []fireflypath.Key) bool {
	for _, k := range keys {
		if k.Until.IsZero() {
			return true
		}
	}
	return false
}

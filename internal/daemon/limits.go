package daemon

import (
	"slices"

	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/rules"
	"github.com/fireflypath/fireflypath/internal/route/pools"
)

// sharedLimits lets windowshare.Manager split the limits of rules between daemons in the same way as
// the windows of pools.
type sharedLimits struct {
	*pools.Pools
	rules   *rules.Rules
	configs fireflypath.Configs
	clock   clockwork.Clock
}

// Demands returns the demands of pools and of rule limits.
func (l *sharedLimits) Demands() []fireflypath.Demand {
	return append(l.Pools.Demands(), l.rules.Demands(l.clock.Now(), l.configs.Current())...)
}

// ApplyShare applies a share of a pool or of a rule limit.
func (l *sharedLimits) ApplyShare(name string, s fireflypath.Share) {
	cfg := l.configs.Current()
	pool := slices.ContainsFunc(cfg.Pools, func(p fireflypath.Pool) bool { return p.Name == name })
	if rule, ok := rules.RuleOfKey(name); ok && !pool {
		l.rules.SetShare(cfg, rule, s.Default)
		return
	}
	l.Pools.ApplyShare(name, s)
}

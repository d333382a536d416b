package daemon

import (
	"slices"

	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/rules"
	"github.com/fireflypath/fireflypath/internal/route/pools"
)

// limits lets the exchange split the limits of rules like windows of pools.
type limits struct {
	*pools.Pools
	rules   *rules.Rules
	configs fireflypath.Configs
	clock   clockwork.Clock
}

// Demands are those of pools and of limits.
func (l *limits) Demands() []fireflypath.Demand {
	return append(l.Pools.Demands(), l.rules.Demands(l.clock.Now(), l.configs.Current())...)
}

// ApplyShare puts a part of a pool or a limit in force.
func (l *limits) ApplyShare(name string, s fireflypath.Share) {
	cfg := l.configs.Current()
	pool := slices.ContainsFunc(cfg.Pools, func(p fireflypath.Pool) bool { return p.Name == name })
	if rule, ok := rules.RuleOfKey(name); ok && !pool {
		l.rules.SetShare(cfg, rule, s.Default)
		return
	}
	l.Pools.ApplyShare(name, s)
}

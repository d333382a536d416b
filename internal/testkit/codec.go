package testkit

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
)

// Codec stores the configuration and the targets as the JSON encoding of the
// fireflypath types, under the keys "config" and "targets/NAME". It defines no headers.
type Codec struct{}

var _ fireflypath.Codec = Codec{}

// Headers returns no header names.
func (Codec) Headers() fireflypath.Headers { return fireflypath.Headers{} }

// ConfigKey returns "config".
func (Codec) ConfigKey() string { return "config" }

// TargetPrefix returns "targets/".
func (Codec) TargetPrefix() string { return "targets/" }

// Load never finds a load report.
func (Codec) Load(string) (l fireflypath.Load, ok bool) { return l, ok }

// Limit implements fireflypath.Codec.
func (Codec) Limit(string) (perSecond float64, ok bool) { return perSecond, ok }

// Leaving implements fireflypath.Codec.
func (Codec) Leaving(string) bool { return false }

// Brittle implements fireflypath.Codec.
func (Codec) Brittle(string) (maxTurnedAway int, ok bool) { return maxTurnedAway, ok }

// Cost never finds a cost.
func (Codec) Cost(string) (c fireflypath.Cost, ok bool) { return c, ok }

// SharedParts implements fireflypath.Codec. Prompts have no parts.
func (Codec) SharedParts(string) []string { return nil }

// Config decodes a configuration from JSON.
func (Codec) Config(value []byte) (*fireflypath.Config, error) {
	var cfg fireflypath.Config
	return &cfg, json.Unmarshal(value, &cfg)
}

// Target decodes a target from JSON and takes its name from the key.
func (Codec) Target(key string, value []byte) (fireflypath.Target, error) {
	t := fireflypath.Target{Name: strings.TrimPrefix(key, "targets/")}
	return t, json.Unmarshal(value, &t)
}

// BootClock simulates a host's boot-time clock, which keeps running while the host is suspended.
type BootClock struct {
	// Clock is the host's monotonic clock, which stops during a suspend.
	Clock clockwork.Clock
	// Suspended is the total time during which Clock was stopped.
	Suspended time.Duration
}

// Elapsed returns the time since the Unix epoch on Clock plus the suspended time.
func (b *BootClock) Elapsed() time.Duration {
	return b.Clock.Since(time.Unix(0, 0)) + b.Suspended
}

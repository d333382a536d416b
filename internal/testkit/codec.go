package testkit

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
)

// Codec keeps configurations and targets as the product's own JSON, under the
// keys "config" and "targets/NAME". It has no headers.
type Codec struct{}

var _ fireflypath.Codec = Codec{}

// Headers are none.
func (Codec) Headers() fireflypath.Headers { return fireflypath.Headers{} }

// ConfigKey is "config".
func (Codec) ConfigKey() string { return "config" }

// TargetPrefix is "targets/".
func (Codec) TargetPrefix() string { return "targets/" }

// Load decodes nothing.
func (Codec) Load(string) (l fireflypath.Load, ok bool) { return l, ok }

// Cost decodes nothing.
func (Codec) Cost(string) (c fireflypath.Cost, ok bool) { return c, ok }

// Config decodes a configuration.
func (Codec) Config(value []byte) (*fireflypath.Config, error) {
	var cfg fireflypath.Config
	return &cfg, json.Unmarshal(value, &cfg)
}

// Target decodes a target.
func (Codec) Target(key string, value []byte) (fireflypath.Target, error) {
	t := fireflypath.Target{Name: strings.TrimPrefix(key, "targets/")}
	return t, json.Unmarshal(value, &t)
}

// BootClock is the boot clock of a host whose other clock is given.
type BootClock struct {
	Clock clockwork.Clock
	// Suspended is time in which the other clock stood still.
	Suspended time.Duration
}

// Elapsed is the time since the other clock's zero, and the time suspended.
func (b *BootClock) Elapsed() time.Duration {
	return b.Clock.Since(time.Unix(0, 0)) + b.Suspended
}

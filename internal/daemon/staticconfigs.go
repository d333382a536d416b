package daemon

import "github.com/fireflypath/fireflypath"

// staticConfigs provides the configuration of a daemon without the platform's store. It never
// changes.
type staticConfigs struct {
	cfg   *fireflypath.Config
	never chan struct{}
}

func newStaticConfigs(cfg *fireflypath.Config) *staticConfigs {
	return &staticConfigs{cfg: cfg, never: make(chan struct{})}
}

// Current implements fireflypath.Configs.
func (f *staticConfigs) Current() *fireflypath.Config {
	return f.cfg
}

// Changed returns a channel that is never closed.
func (f *staticConfigs) Changed(uint64) <-chan struct{} {
	return f.never
}

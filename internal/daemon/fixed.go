package daemon

import "github.com/fireflypath/fireflypath"

// fixed is the configuration of a daemon without a platform service.
type fixed struct {
	cfg   *fireflypath.Config
	never chan struct{}
}

func newFixed(cfg *fireflypath.Config) *fixed {
	return &fixed{cfg: cfg, never: make(chan struct{})}
}

// Current is always the same.
func (f *fixed) Current() *fireflypath.Config {
	return f.cfg
}

// Changed is never closed.
func (f *fixed) Changed(uint64) <-chan struct{} {
	return f.never
}

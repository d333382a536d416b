// Package settings holds the plain structs of a daemon's settings file.
package settings

import "github.com/fireflypath/fireflypath"

// Settings is the whole file. Defaults are filled in by the part that uses them.
type Settings struct {
	// Name is the daemon's name; request ids begin with it.
	Name string `json:"name" validate:"required,max=64,excludesall=./ "`
	// Domain is the failure domain the daemon runs in.
	Domain string `json:"domain" validate:"required"`
	// Listen holds the addresses the daemon serves.
	Listen Listen `json:"listen"`
	// Platform is the key-value service and host list.
	Platform Platform `json:"platform"`
	// Peers are the other daemons.
	Peers Peers `json:"peers"`
	// Limits bound what callers can make the daemon hold.
	Limits Limits `json:"limits"`
	// Stop bounds a planned stop.
	Stop Stop `json:"stop"`
	// Records bounds what is kept for "why".
	Records Records `json:"records"`
	// Gate, if set, serves callers by the routes of the platform's configuration.
	Gate *Gate `json:"gate,omitempty"`
	// LogLevel is the lowest level printed: debug, info, warn or error.
	LogLevel string `json:"log" validate:"omitempty,oneof=debug info warn error"`
	// Initial is put in force when the platform's service holds no configuration.
	Initial *fireflypath.Config `json:"initial,omitempty"`
}

// Listen holds addresses, each an IP number and a port; port 0 takes a free one.
type Listen struct {
	// Callers is for requests.
	Callers string `json:"callers" validate:"required,ipport"`
	// Operators is for commands, queries and metrics.
	Operators string `json:"operators" validate:"required,ipport"`
	// Ready tells the platform's balancer whether to send callers here.
	Ready string `json:"ready" validate:"omitempty,ipport"`
	// Peers is for other daemons; empty for a daemon alone.
	Peers string `json:"peers" validate:"omitempty,ipport"`
	// CallersTLS and OperatorsTLS are reloaded when the files change.
	CallersTLS   *TLS `json:"callers_tls,omitempty"`
	OperatorsTLS *TLS `json:"operators_tls,omitempty"`
}

// TLS names files in PEM form.
type TLS struct {
	Cert string `json:"cert" validate:"required"`
	Key  string `json:"key" validate:"required"`
	// CA checks the other side; required between daemons.
	CA string `json:"ca,omitempty"`
}

// Platform tells where the platform's services are.
type Platform struct {
	// Addr is the key-value service and host list; empty for a daemon alone,
	// whose configuration is Initial.
	Addr string `json:"addr" validate:"omitempty,ipport"`
	// Timeout bounds each call.
	Timeout fireflypath.Duration `json:"timeout,omitempty" validate:"min=0"`
}

// Peers tells how daemons find and trust each other.
type Peers struct {
	// Seeds are peer addresses used while the platform's service is down.
	Seeds []string `json:"seeds,omitempty" validate:"dive,ipport"`
	// Heartbeat is the time between heartbeats.
	Heartbeat fireflypath.Duration `json:"heartbeat,omitempty" validate:"min=0"`
	// TLS is mutual; nil is refused unless Plain is set.
	TLS *TLS `json:"tls,omitempty"`
	// AllowPlaintext allows peers without TLS.
	AllowPlaintext bool `json:"plain,omitempty"`
}

// Limits bound memory and bad input; 0 takes the default.
type Limits struct {
	// Body bounds a request's body in bytes.
	Body int `json:"body,omitempty" validate:"min=0"`
	// PendingBodies bounds the bytes of bodies that are still being read, over all
	// connections; one largest body always fits.
	PendingBodies int `json:"bodies,omitempty" validate:"min=0"`
	// Header bounds a request's header in bytes.
	Header int `json:"header,omitempty" validate:"min=0"`
	// Connections bounds the callers' open connections.
	Connections int `json:"connections,omitempty" validate:"min=0"`
	// Waiting bounds the bytes of waiting requests over all pools.
	Waiting int `json:"waiting,omitempty" validate:"min=0"`
	// Buffer bounds the bytes held of one answer for a slow caller.
	Buffer int `json:"buffer,omitempty" validate:"min=0"`
	// IdleTimeout is how long an answer may bring nothing before its connection is replaced.
	IdleTimeout fireflypath.Duration `json:"silence,omitempty" validate:"min=0"`
}

// Stop bounds a planned stop.
type Stop struct {
	// DrainTimeout is how long running requests are waited for; 0 takes the default.
	DrainTimeout fireflypath.Duration `json:"limit,omitempty" validate:"min=0"`
	// ReadinessDelay is how long requests are still taken after readiness has turned
	// false, so that the balancer sends nobody to a closed port; 0 is not at all.
	ReadinessDelay fireflypath.Duration `json:"notice,omitempty" validate:"min=0"`
}

// Records bounds what is kept for "why" and of the audit trail.
type Records struct {
	// Bytes bounds the memory of kept records; 0 takes the default.
	Bytes int `json:"bytes,omitempty" validate:"min=0"`
	// AuditTrail is how many lines of the audit trail are kept in the platform's
	// service; 0 takes the default. Give all daemons the same.
	AuditTrail int `json:"trail,omitempty" validate:"min=0,max=1000000"`
}

// Gate sets what holds for the callers of routes.
type Gate struct {
	// RevocationDelay is how long a key may still be used after it was taken away. A
	// daemon that cannot show that its view is younger runs no keyed request.
	RevocationDelay fireflypath.Duration `json:"revoked" validate:"gt=0"`
	// ActivationDelay is how soon a changed configuration is in force.
	ActivationDelay fireflypath.Duration `json:"force" validate:"gt=0"`
	// TerminationGrace is the time from the signal of a planned stop to the end of the process.
	TerminationGrace fireflypath.Duration `json:"grace" validate:"gt=0"`
	// Retries bound the repeats that all daemons together add.
	Retries RetryBudget `json:"retries"`
	// Quotas is how far the teams' quotas may be exceeded.
	Quotas QuotaTolerance `json:"quotas"`
	// Quarantine holds back requests that end the targets that run them.
	Quarantine Quarantine `json:"quarantine"`
}

// Quarantine sets when a request is held back that ends targets.
type Quarantine struct {
	// Targets is how many targets have to end under a request, one after the other,
	// before it is held; 0 is 3.
	Targets int `json:"targets,omitempty" validate:"omitempty,min=2,max=20"`
	// Duration is how long it is held the first time, twice as long each time after; 0 is
	// an hour.
	Duration fireflypath.Duration `json:"time,omitempty" validate:"omitempty,min=1000000000"`
	// Disabled serves such requests as any other.
	Disabled bool `json:"off,omitempty"`
}

// QuotaTolerance is how far quotas may be exceeded.
type QuotaTolerance struct {
	// Overshoot is a fraction of a quota.
	Overshoot float64 `json:"over,omitempty" validate:"min=0"`
	// Slack is in units over any window.
	Slack  float64              `json:"slack,omitempty" validate:"min=0"`
	Window fireflypath.Duration `json:"window,omitempty" validate:"min=0"`
}

// RetryBudget is a retry budget.
type RetryBudget struct {
	// Ratio is the most repeats for each request of the window.
	Ratio float64 `json:"ratio" validate:"min=0"`
	// Window is the time over which both are counted.
	Window fireflypath.Duration `json:"window" validate:"gt=0"`
	// Allowance is how many repeats may be made beyond the ratio.
	Allowance float64 `json:"allowance" validate:"min=0"`
}

// Package settings defines, loads and validates the settings file of a daemon.
package settings

import "github.com/fireflypath/fireflypath"

// Settings is the content of a settings file. Defaults are applied by the packages that
// use the values.
type Settings struct {
	// Name is the name of the daemon and the prefix of its request ids.
	Name string `json:"name" validate:"required,max=64,excludesall=./ "`
	// Domain is the failure domain in which the daemon runs.
	Domain string `json:"domain" validate:"required"`
	// Listen holds the addresses on which the daemon listens.
	Listen Listen `json:"listen"`
	// Platform configures the key-value service and host list.
	Platform Platform `json:"platform"`
	// Peers configures the connections to other daemons.
	Peers Peers `json:"peers"`
	// Host describes the host on which the daemon runs.
	Host Host `json:"host"`
	// Limits bounds the resources that callers can consume.
	Limits Limits `json:"limits"`
	// Stop configures a planned stop.
	Stop Stop `json:"stop"`
	// Records bounds the records kept for "why" and the audit trail.
	Records Records `json:"records"`
	// Gate, if set, serves callers according to the routes of the platform's
	// configuration.
	Gate *Gate `json:"gate,omitempty"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `json:"log" validate:"omitempty,oneof=debug info warn error"`
	// Initial is activated if the platform's service holds no configuration.
	Initial *fireflypath.Config `json:"initial,omitempty"`
}

// Listen holds addresses, each an IP address and a port. Port 0 selects a free port.
type Listen struct {
	// Callers serves requests.
	Callers string `json:"callers" validate:"required,ipport"`
	// Operators serves commands, queries and metrics.
	Operators string `json:"operators" validate:"required,ipport"`
	// Ready serves the readiness check of the platform's load balancer.
	Ready string `json:"ready" validate:"omitempty,ipport"`
	// Peers serves other daemons. It is empty for a standalone daemon.
	Peers string `json:"peers" validate:"omitempty,ipport"`
	// CallersTLS and OperatorsTLS are reloaded when their files change.
	CallersTLS   *TLS `json:"callers_tls,omitempty"`
	OperatorsTLS *TLS `json:"operators_tls,omitempty"`
}

// TLS holds the paths of PEM files.
type TLS struct {
	Cert string `json:"cert" validate:"required"`
	Key  string `json:"key" validate:"required"`
	// CA verifies the certificate of the other side. It is required between daemons.
	CA string `json:"ca,omitempty"`
}

// Platform locates the services of the platform.
type Platform struct {
	// Addr is the address of the key-value service and host list. It is empty for a
	// standalone daemon, which uses Initial as its configuration.
	Addr string `json:"addr" validate:"omitempty,ipport"`
	// Timeout limits each call.
	Timeout fireflypath.Duration `json:"timeout,omitempty" validate:"min=0"`
	// Renewal is how often targets renew their registrations; 0 selects 1.2 s. Registrations lapse
	// after three times as long.
	Renewal fireflypath.Duration `json:"renewal,omitempty" validate:"min=0"`
}

// Peers configures how daemons discover and authenticate each other.
type Peers struct {
	// Seeds are peer addresses to use while the platform's service is unavailable.
	Seeds []string `json:"seeds,omitempty" validate:"dive,ipport"`
	// Bootstrap is true while the whole fleet starts for the first time.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// Heartbeat is the interval between heartbeats.
	Heartbeat fireflypath.Duration `json:"heartbeat,omitempty" validate:"min=0"`
	// TLS configures mutual TLS. It is required unless AllowPlaintext is set.
	TLS *TLS `json:"tls,omitempty"`
	// AllowPlaintext allows connections to peers without TLS.
	AllowPlaintext bool `json:"plain,omitempty"`
}

// Host describes a host: its capacity, where 0 means unknown, and its address.
type Host struct {
	// CPUShare is the fraction of its processor that the daemon may use, and Cores the speed
	// of that processor in cores.
	CPUShare float64 `json:"cpu,omitempty" validate:"min=0,max=1"`
	Cores    float64 `json:"cores,omitempty" validate:"min=0"`
	// Link is the bandwidth of its network link in Mbit/s.
	Link float64 `json:"link,omitempty" validate:"min=0"`
	// Memory is the memory of the daemon in MB, above which the host ends it; 0 selects what the
	// system reports.
	Memory int `json:"memory,omitempty" validate:"min=0"`
	// Source is the local IP address of the connections to targets. If it is empty, the system
	// chooses one.
	Source string `json:"source,omitempty" validate:"omitempty,ip"`
}

// Limits bounds memory use and malformed input. 0 selects the default.
type Limits struct {
	// Body is the maximum size of a request body in bytes.
	Body int `json:"body,omitempty" validate:"min=0"`
	// PendingBodies is the maximum number of bytes of request bodies that are being read,
	// summed over all connections. One body of the maximum size always fits. With a gate, it
	// bounds all bytes that are held for callers and other daemons: bodies until their requests
	// end, answers, parts of events and tunnels; the default is then a quarter of the host's
	// memory.
	PendingBodies int `json:"bodies,omitempty" validate:"min=0"`
	// Header is the maximum size of a request header in bytes.
	Header int `json:"header,omitempty" validate:"min=0"`
	// Connections is the maximum number of open connections from callers. With a gate, the default
	// follows from the descriptors that the process may open and from the host's memory.
	Connections int `json:"connections,omitempty" validate:"min=0"`
	// Waiting is the maximum number of bytes of waiting requests, summed over all pools.
	Waiting int `json:"waiting,omitempty" validate:"min=0"`
	// Buffer is the maximum number of bytes of one answer that are buffered for a slow
	// caller.
	Buffer int `json:"buffer,omitempty" validate:"min=0"`
	// IdleTimeout is how long no bytes of an answer may arrive before its connection is
	// replaced.
	IdleTimeout fireflypath.Duration `json:"silence,omitempty" validate:"min=0"`
}

// Stop configures a planned stop.
type Stop struct {
	// DrainTimeout is how long to wait for running requests. 0 selects the default.
	DrainTimeout fireflypath.Duration `json:"limit,omitempty" validate:"min=0"`
	// ReadinessDelay is how long requests are still accepted after the readiness check has
	// started to fail, so that the load balancer sends no callers to a closed port. 0
	// disables the delay.
	ReadinessDelay fireflypath.Duration `json:"notice,omitempty" validate:"min=0"`
}

// Records bounds the records kept for "why" and the audit trail.
type Records struct {
	// Bytes is the maximum memory of the kept records. 0 selects the default.
	Bytes int `json:"bytes,omitempty" validate:"min=0"`
	// AuditTrail is the number of audit trail lines kept in the platform's service. 0
	// selects the default. All daemons must use the same value.
	AuditTrail int `json:"trail,omitempty" validate:"min=0,max=1000000"`
}

// Gate configures the serving of callers according to routes.
type Gate struct {
	// RevocationDelay is how long a revoked key may still be accepted. A daemon that
	// cannot prove that its view is more recent rejects requests that need a key.
	RevocationDelay fireflypath.Duration `json:"revoked" validate:"gt=0"`
	// ActivationDelay is the time within which a changed configuration must be in force.
	ActivationDelay fireflypath.Duration `json:"force" validate:"gt=0"`
	// TerminationGrace is the time between the signal for a planned stop and the end of
	// the process.
	TerminationGrace fireflypath.Duration `json:"grace" validate:"gt=0"`
	// Retries limits the retries that all daemons together add.
	Retries RetryBudget `json:"retries"`
	// Quotas is the tolerated excess over the teams' quotas.
	Quotas QuotaTolerance `json:"quotas"`
	// Quarantine holds back requests that crash the targets that run them.
	Quarantine Quarantine `json:"quarantine"`
	// Fair divides the capacity of a pool among the teams of a rank.
	Fair bool `json:"fair,omitempty"`
	// Returns gives refused callers times at which there will be room for them, and serves those that
	// return then before newcomers.
	Returns bool `json:"returns,omitempty"`
	// Lend lets cells with free slots lend some to cells in which work waits.
	Lend bool `json:"lend,omitempty"`
	// Rollouts, if set, tries ordered versions. Otherwise they are rolled back without a trial.
	Rollouts *Rollouts `json:"rollouts,omitempty"`
}

// Rollouts bounds what a bad version may get on trial. It has to be the same at all daemons.
type Rollouts struct {
	// Share is the fraction of the requests of a pool that the new version may get.
	Share float64 `json:"share" validate:"gt=0,lte=1"`
	// Slack is an additional number of requests.
	Slack float64 `json:"slack" validate:"min=0"`
	// Rollback is the time after its 50th bad response within which a bad version gets no more
	// requests.
	Rollback fireflypath.Duration `json:"rollback" validate:"gt=0"`
}

// Quarantine configures when a request that crashes targets is held back.
type Quarantine struct {
	// Targets is the number of targets that must crash under a request, one after another,
	// before it is held back. 0 selects 3.
	Targets int `json:"targets,omitempty" validate:"omitempty,min=2,max=20"`
	// Duration is how long a request is held back the first time. It doubles each time
	// after that. 0 selects one hour.
	Duration fireflypath.Duration `json:"time,omitempty" validate:"omitempty,min=1000000000"`
	// Disabled serves such requests like any other.
	Disabled bool `json:"off,omitempty"`
}

// QuotaTolerance is the tolerated excess over quotas.
type QuotaTolerance struct {
	// Overshoot is a fraction of the quota.
	Overshoot float64 `json:"over,omitempty" validate:"min=0"`
	// Slack is an additional number of quota units in any window.
	Slack  float64              `json:"slack,omitempty" validate:"min=0"`
	Window fireflypath.Duration `json:"window,omitempty" validate:"min=0"`
}

// RetryBudget limits retries relative to the number of requests.
type RetryBudget struct {
	// Ratio is the maximum number of retries per request in the window.
	Ratio float64 `json:"ratio" validate:"min=0"`
	// Window is the period over which requests and retries are counted.
	Window fireflypath.Duration `json:"window" validate:"gt=0"`
	// Allowance is the number of retries that are allowed in addition to the ratio.
	Allowance float64 `json:"allowance" validate:"min=0"`
}

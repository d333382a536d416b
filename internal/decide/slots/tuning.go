package slots

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Tuning holds the adjustable parameters of the scheduling decisions.
type Tuning struct {
	// MaxTargetQueue is how many requests of the highest tier may wait in the queue
	// of a full target. Each tier below is allowed one less, the lowest none.
	MaxTargetQueue int `json:"extra"`
	// UseTargetReports makes the target's own load reports count in addition to the
	// reports of other daemons. It is set for a daemon that decides alone while the
	// others are served by a dispatcher and report nothing.
	UseTargetReports bool `json:"reports"`
	// PredictLateness counts a request as late once it cannot begin in time at the
	// fastest target, instead of only when its goal has passed.
	PredictLateness bool `json:"punctual"`
	// LatenessMargin is added to the prefill time at the fastest target, in
	// seconds, if PredictLateness is set.
	LatenessMargin float64 `json:"margin"`
	// LatestGoalFirst serves the punctual requests of a tier with the latest goal
	// first, instead of the earliest.
	LatestGoalFirst bool `json:"newest"`
	// FairTeams divides the capacity for a rank among its teams in proportion to their weights.
	FairTeams bool `json:"fair"`
	// MaxWaitFraction is the fraction of the time until its caller gives up that a
	// request may wait, or be expected to wait on arrival. A caller refused then
	// can retry while there is still time; one that waits longer gives up without
	// an answer.
	MaxWaitFraction float64 `json:"hopeless"`
	// MinServedRatio is the minimum fraction of each tier's requests that is
	// served, relative to the fraction served of all requests.
	MinServedRatio float64 `json:"floor"`
	// FailurePenalty is the relative increase of the expected time at a target
	// where all requests fail.
	FailurePenalty float64 `json:"fail"`
	// SlotPenalty is the relative increase of the expected time for each occupied
	// slot: each token takes longer in a fuller batch.
	SlotPenalty float64 `json:"slot"`
	// MaxStallFraction is the fraction of the longest pause tolerated between
	// events for which the prefill of a prompt may stall the streams at its target.
	// The rest is left for the streams' own decode steps.
	MaxStallFraction float64 `json:"gap"`
	// SlowPrefillRatio is the fraction of the highest known prefill rate at or
	// below which a target is of another hardware generation. Learned rates of
	// identical engines differ by up to a third, those of different generations by
	// a factor of two to five.
	SlowPrefillRatio float64 `json:"slower"`
	// MaxDurationFraction is the fraction of the time to its deadline in which a
	// request must be expected to end.
	MaxDurationFraction float64 `json:"hurry"`
	// PipelinedFraction is the number of requests beyond its slots that a target may always
	// have, as a fraction of the slots. They keep it busy between an answer and the arrival
	// of the next request.
	PipelinedFraction float64 `json:"pipelined"`
	// MinEjectionRate is the failure rate from which a failed request ejects its target.
	// A single dispatcher's ejection takes the target from the whole fleet, so one lost
	// answer among many must not cause it.
	MinEjectionRate float64 `json:"eject"`
	// LimitToEqualShare limits a daemon to its equal part of the slots while the others that use
	// the same targets report nothing.
	LimitToEqualShare bool `json:"equal_share"`
	// Returns gives refused callers times at which there will be room for them, and serves those that
	// return then before newcomers.
	Returns bool `json:"returns"`
	// ScoreNoise is the fraction of the expected time by which the scores of
	// daemons differ at random, so that daemons with equal views do not all choose
	// the same target.
	ScoreNoise float64 `json:"spread"`
	// Lend allows lending slots to other cells and borrowing some of theirs.
	Lend bool `json:"lend"`
}

// StandaloneTuning returns the tuning of a daemon that decides for itself alongside
// others.
func StandaloneTuning() Tuning {
	return Tuning{
		MaxTargetQueue: 2, MaxWaitFraction: 0.6, MinServedRatio: 0.35, FailurePenalty: 20, SlotPenalty: 0.05,
		MaxStallFraction: 0.6, SlowPrefillRatio: 0.5, MaxDurationFraction: 0.8, ScoreNoise: 0.1, LimitToEqualShare: true,
	}
}

// DispatcherTuning returns the tuning of a dispatcher that decides for all daemons.
func DispatcherTuning() Tuning {
	t := StandaloneTuning()
	t.MaxTargetQueue, t.ScoreNoise, t.LimitToEqualShare = 0, 0, false
	t.PredictLateness, t.LatenessMargin, t.LatestGoalFirst = true, 0.03, true
	return t
}

// ServiceDispatcherTuning returns the tuning of a dispatcher that decides for all daemons
// in a pool of plain services. Their requests are short compared with the way to the
// dispatcher and back.
func ServiceDispatcherTuning() Tuning {
	t := DispatcherTuning()
	t.PipelinedFraction, t.MinEjectionRate = 0.5, 0.25
	return t
}

// Apply returns the tuning with the parameters changed that the JSON object names.
func (t Tuning) Apply(object []byte) (Tuning, error) {
	d := json.NewDecoder(bytes.NewReader(object))
	d.DisallowUnknownFields()
	return t, errors.Wrap(d.Decode(&t), "decode tuning parameters")
}

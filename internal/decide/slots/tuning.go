package slots

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Tuning holds the adjustable parameters of the scheduling decisions.
type Tuning struct {
	// Extra is how many requests of the highest tier may wait in the queue of a
	// full target. Each tier below is allowed one less, the lowest none.
	Extra int `json:"extra"`
	// Reports makes the target's own load reports count in addition to the reports
	// of other daemons. It is set for a daemon that decides alone while the others
	// are served by a dispatcher and report nothing.
	Reports bool `json:"reports"`
	// Punctual counts a request as late once it cannot begin in time at the fastest
	// target, instead of only when its goal has passed.
	Punctual bool `json:"punctual"`
	// Margin is added to the prefill time at the fastest target, in seconds, if
	// PredictLateness is set.
	Margin float64 `json:"margin"`
	// Newest serves the punctual requests of a tier with the latest goal first,
	// instead of the earliest.
	Newest bool `json:"newest"`
	// Hopeless is the fraction of the time until its caller gives up that a request
	// may wait, or be expected to wait on arrival. A caller refused then can retry
	// while there is still time; one that waits longer gives up without an answer.
	Hopeless float64 `json:"hopeless"`
	// Floor is the minimum fraction of each tier's requests that is served,
	// relative to the fraction served of all requests.
	Floor float64 `json:"floor"`
	// FailCost is the relative increase of the expected time at a target where all
	// requests fail.
	FailCost float64 `json:"fail"`
	// SlotCost is the relative increase of the expected time for each occupied
	// slot: each token takes longer in a fuller batch.
	SlotCost float64 `json:"slot"`
	// GapPart is the fraction of the longest pause tolerated between events for
	// which the prefill of a prompt may stall the streams at its target. The rest
	// is left for the streams' own decode steps.
	GapPart float64 `json:"gap"`
	// MuchSlower is the fraction of the highest known prefill rate at or below
	// which a target is of another hardware generation. Learned rates of identical
	// engines differ by up to a third, those of different generations by a factor
	// of two to five.
	MuchSlower float64 `json:"slower"`
	// Hurry is the fraction of the time to its deadline in which a request must be
	// expected to end.
	Hurry float64 `json:"hurry"`
	// Spread is the fraction of the expected time by which the scores of daemons
	// differ at random, so that daemons with equal views do not all choose the same
	// target.
	Spread float64 `json:"spread"`
}

// Alone returns the tuning of a daemon that decides for itself alongside others.
func Alone() Tuning {
	return Tuning{
		Extra: 2, Hopeless: 0.6, Floor: 0.35, FailCost: 20, SlotCost: 0.05, GapPart: 0.6, MuchSlower: 0.5, Hurry: 0.8, Spread: 0.1,
	}
}

// Shared returns the tuning of a dispatcher that decides for all daemons.
func Shared() Tuning {
	t := Alone()
	t.Extra, t.Spread = 0, 0
	t.Punctual, t.Margin, t.Newest = true, 0.03, true
	return t
}

// Set returns the tuning with the parameters changed that the JSON object names.
func (t Tuning) Set(object []byte) (Tuning, error) {
	d := json.NewDecoder(bytes.NewReader(object))
	d.DisallowUnknownFields()
	return t, errors.Wrap(d.Decode(&t), "set tuning")
}

package slots

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Tuning holds what can be set of the decisions, each with its unit.
type Tuning struct {
	// Extra is how many requests of the highest tier may stand in a full target's
	// own queue. Each tier below has one less, the lowest none.
	Extra int `json:"extra"`
	// Reports counts a target's own word about its load besides what other daemons
	// tell, for one that decides alone while the others, served by a dispatcher, tell
	// nothing.
	Reports bool `json:"reports"`
	// Punctual orders by whether work can still begin in time at the fastest target,
	// instead of by whether its goal has passed.
	Punctual bool `json:"punctual"`
	// Margin is added to the time that a prompt takes at the fastest target, in
	// seconds, if Punctual.
	Margin float64 `json:"margin"`
	// Newest serves punctual work of a tier that came last first.
	Newest bool `json:"newest"`
	// Hopeless is the part of the time until its caller leaves that work may wait,
	// or be expected to wait on arrival. Refused then, its caller comes back while
	// there is still time; kept longer, the caller leaves and has nothing.
	Hopeless float64 `json:"hopeless"`
	// Floor is the part of how often all work is served that each tier is served at
	// least.
	Floor float64 `json:"floor"`
	// FailCost is how many times longer work seems to take at a target where all
	// of it fails.
	FailCost float64 `json:"fail"`
	// SlotCost is what each taken slot adds to the expected time, as a part of it: a
	// batch that is fuller makes each token slower.
	SlotCost float64 `json:"slot"`
	// GapPart is the part of the pause that callers bear by which prompts may hold
	// up the streams at their target. The rest is for their own steps.
	GapPart float64 `json:"gap"`
	// MuchSlower is the part of the fastest known prefill speed below which a target
	// is one of another generation. Learned speeds of equal engines differ by up to
	// a third, those of unlike ones by two to five times.
	MuchSlower float64 `json:"slower"`
	// Hurry is the part of the time left in which work must be expected to end.
	Hurry float64 `json:"hurry"`
	// Spread is the part of the expected time by which daemons differ in their
	// choice, so that equal views do not send everything to one target.
	Spread float64 `json:"spread"`
}

// Alone is the tuning of a daemon that decides for itself beside others.
func Alone() Tuning {
	return Tuning{
		Extra: 2, Hopeless: 0.6, Floor: 0.35, FailCost: 20, SlotCost: 0.05, GapPart: 0.6, MuchSlower: 0.5, Hurry: 0.8, Spread: 0.1,
	}
}

// Shared is the tuning of one that decides for all.
func Shared() Tuning {
	t := Alone()
	t.Extra, t.Spread = 0, 0
	t.Punctual, t.Margin, t.Newest = true, 0.03, true
	return t
}

// Set changes what a JSON object names.
func (t Tuning) Set(object []byte) (Tuning, error) {
	d := json.NewDecoder(bytes.NewReader(object))
	d.DisallowUnknownFields()
	return t, errors.Wrap(d.Decode(&t), "set tuning")
}

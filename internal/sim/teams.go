package sim

import (
	"strconv"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/teamshare"
)

// Team summarizes what the callers of one team received, by rank.
type Team struct {
	Name    string      `json:"name"`
	Sent    map[int]int `json:"sent"`
	Served  map[int]int `json:"served"`
	Refused map[int]int `json:"refused"`
}

// teamRandom sets the choice of a request's team apart from other choices that depend on its arrival.
const teamRandom = 1013

// teamOf chooses the team of a request.
func (w *world) teamOf(r *request) int {
	teams := w.options.Load.Teams
	sum := 0.0
	for _, t := range teams {
		sum += t.Rate
	}
	at := hashFraction(w.options.Seed^teamRandom, int(r.arrivedAt.UnixNano()), r.kind) * sum
	for i, t := range teams {
		if at -= t.Rate; at < 0 {
			return i
		}
	}
	return len(teams) - 1
}

// setTeam names the team in the work of a request, and its weight by its usual rate.
func (w *world) setTeam(r *request, work *fireflypath.Work) {
	teams := w.options.Load.Teams
	if len(teams) == 0 {
		return
	}
	i := w.teamOf(r)
	least := teams[i].Usual
	for _, t := range teams {
		least = min(least, t.Usual)
	}
	work.Team, work.Weight = teamName(i), int(teams[i].Usual/least*teamshare.DefaultWeight)
}

func teamName(i int) string { return "team-" + strconv.Itoa(i) }

// teamResults counts the outcomes by team.
func (w *world) teamResults() []Team {
	var out []Team
	for i := range w.options.Load.Teams {
		out = append(out, Team{Name: teamName(i), Sent: map[int]int{}, Served: map[int]int{}, Refused: map[int]int{}})
	}
	if len(out) == 0 {
		return nil
	}
	for _, s := range w.tally.order {
		t := &out[w.teamOf(s.request)]
		t.Sent[s.request.rank]++
		switch s.outcome {
		case outcomeInTime, outcomeLate:
			t.Served[s.request.rank]++
		case outcomeRefused:
			t.Refused[s.request.rank]++
		default:
		}
	}
	return out
}

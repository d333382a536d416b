package fair

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath"
)

func work(team string, rank, weight, cost int) *fireflypath.Work {
	return &fireflypath.Work{
		Team: team, Rank: rank, Weight: weight,
		Cost: fireflypath.Cost{Prompt: cost}, Bytes: 4 * cost,
	}
}

// Every pushed request comes out exactly once, the totals stay exact, and teams without
// requests are freed.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		var waiting []int32
		free := []int32{}
		next, tokens := int32(0), 0
		drop := func(id int32) {
			for i, w := range waiting {
				if w == id {
					waiting = append(waiting[:i], waiting[i+1:]...)
					free = append(free, id)
					tokens -= q.Work(id).Cost.Tokens()
					return
				}
			}
			t.Fatalf("id %d came out twice", id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				team := fmt.Sprintf("t%d", rapid.IntRange(0, 40).Draw(t, "team"))
				w := work(team, rapid.IntRange(0, 2).Draw(t, "rank"), rapid.IntRange(1, 5).Draw(t, "weight"),
					rapid.IntRange(1, 40000).Draw(t, "cost"))
				id := next
				if n := len(free); n > 0 {
					id, free = free[n-1], free[:n-1]
				} else {
					next++
				}
				q.Push(id, w)
				waiting = append(waiting, id)
				tokens += w.Cost.Tokens()
			},
			"serve": func(t *rapid.T) {
				for r := range Ranks {
					if id := q.Head(r); id >= 0 {
						drop(id)
						q.Serve(id)
						return
					}
				}
			},
			"shed": func(t *rapid.T) {
				for r := Ranks - 1; r >= 0; r-- {
					if id := q.Victim(r); id >= 0 {
						drop(id)
						q.Remove(id)
						return
					}
				}
			},
			"": func(t *rapid.T) {
				sum, n := 0, 0
				for r := range Ranks {
					sum += q.Tokens(r)
					n += q.Requests(r)
				}
				if sum != tokens || n != len(waiting) || q.Len() != n || q.Bytes() != 4*tokens {
					t.Fatalf("holds %d tokens in %d requests, want %d in %d", sum, n, tokens, len(waiting))
				}
			},
		})
		for _, id := range waiting {
			q.Remove(id)
		}
		for i := range 200 {
			q.Push(next, work("last", i%3, 1, 1))
			q.Remove(next)
		}
		if q.Teams() > 3 {
			t.Fatalf("%d teams held without work", q.Teams())
		}
	})
}

// A hot team keeps sending long requests. Every other team with waiting requests must
// still get its share of tokens, to within the largest single request.
func TestQueueIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 20000
		q := New()
		teams := rapid.IntRange(2, 6).Draw(t, "teams")
		weights, served := make([]int, teams), make([]float64, teams)
		nextID := int32(0)
		push := func(i int) {
			q.Push(nextID, work(fmt.Sprint(i), 0, weights[i], rapid.IntRange(1, largest).Draw(t, "cost")))
			nextID++
		}
		for i := range teams {
			weights[i] = rapid.IntRange(1, 4).Draw(t, "weight")
			for range 3 {
				push(i)
			}
		}
		for range 100 {
			id := q.Head(0)
			w := q.Work(id)
			var i int
			if _, err := fmt.Sscan(w.Team, &i); err != nil {
				t.Fatal(err)
			}
			q.Serve(id)
			served[i] += float64(w.Cost.Tokens()) / float64(weights[i])
			push(i)
			for a := range teams {
				for b := range teams {
					if d := served[a] - served[b]; d > largest/float64(weights[a])+largest/float64(weights[b]) {
						t.Fatalf("team %d is %.0f tokens per weight ahead of team %d", a, d, b)
					}
				}
			}
		}
	})
}

// A prompt a hundred times longer than the others is first in its team's queue. The short
// ones behind it must pass it, and it must still be served.
func TestShortRequestsPassLongOnesOfTheirTeam(t *testing.T) {
	is := is.New(t)
	q := New()
	for i := range int32(4) {
		q.Push(i, work("x", 0, 1, 30000))
	}
	for i := range int32(400) {
		q.Push(4+i, work("x", 0, 1, 300))
	}
	short, long := 0, 0
	for range 210 {
		id := q.Head(0)
		if q.Work(id).Cost.Prompt == 300 {
			short++
		} else {
			long++
		}
		q.Serve(id)
	}
	is.True(short > 200) // classes get equal tokens: 100 short requests per long one
	is.True(long >= 2)
}

// A team sends one long request, waits until it is served and sends the next. If the team
// were freed in between, it would always be served first.
func TestIdleTeamKeepsItsTag(t *testing.T) {
	is := is.New(t)
	q := New()
	id := int32(100)
	for i := range int32(50) {
		q.Push(i, work("steady", 0, 1, 1000))
	}
	bursty, steady := 0, 0
	q.Push(id, work("bursty", 0, 1, 10000))
	for range 40 {
		s := q.Head(0)
		w := q.Work(s)
		q.Serve(s)
		if w.Team == "bursty" {
			bursty += w.Cost.Prompt
			id++
			q.Push(id, work("bursty", 0, 1, 10000))
		} else {
			steady += w.Cost.Prompt
		}
	}
	is.True(bursty <= steady+10000)
}

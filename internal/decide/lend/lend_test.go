package lend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/decide/lend"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// supply returns targets with four slots each, of which the given number is free.
func supply(targets, free int) lend.Supply {
	s := lend.Supply{Slots: 4 * targets}
	for i := range targets {
		s.Targets = append(s.Targets, lend.Slots{Target: fmt.Sprintf("t%02d", i), Count: free, Prefill: 9000, Decode: 50})
	}
	return s
}

// side is a borrower's dispatcher as a lender sees it.
type side struct {
	name     string
	cell     int
	version  uint64
	sequence int64
	slots    []lend.Slots
}

// ask asks for slots and applies the answer. It returns the number of slots that are then held.
func (b *side) ask(now time.Time, book *lend.Book, s lend.Supply, used []lend.Slots, need ...int) int {
	b.sequence++
	g := book.Answer(now, b.name, &lend.Ask{Cell: b.cell, Need: need, Used: used, Version: b.version, Sequence: b.sequence}, &s)
	b.version = g.Version
	if !g.Same {
		b.slots = append(b.slots[:0], g.Slots...)
	}
	return lend.Total(b.slots)
}

func lentTotal(book *lend.Book, targets int) int {
	n := 0
	for i := range targets {
		n += book.Lent(fmt.Sprintf("t%02d", i))
	}
	return n
}

// Guards against two borrowers that get the same slot, and against a lender without a reserve.
func TestTwoBorrowersShareFreeSlots(t *testing.T) {
	is := is.New(t)
	var book lend.Book
	a, b := side{name: "a", cell: 8}, side{name: "b", cell: 9}
	s := supply(10, 3) // 30 free of 40, 5 of them in reserve
	is.Equal(a.ask(epoch, &book, s, nil, 0, 100), 25)
	is.Equal(b.ask(epoch, &book, s, nil, 0, 100), 0)
	for i := range 5 {
		at := epoch.Add(time.Duration(i+1) * lend.RenewInterval)
		held := a.ask(at, &book, s, nil, 0, 100) + b.ask(at, &book, s, nil, 0, 100)
		is.True(held <= 25)
		for i := range 10 {
			is.True(book.Lent(fmt.Sprintf("t%02d", i)) <= 3)
		}
	}
	is.True(lend.Total(a.slots) >= 10)
	is.True(lend.Total(b.slots) >= 10)
}

// Guards against slots that stay with a lower rank while a higher one waits in another cell.
func TestHighestRankBorrowsFirst(t *testing.T) {
	is := is.New(t)
	var book lend.Book
	low, high := side{name: "a", cell: 8}, side{name: "b", cell: 9}
	s := supply(10, 2)
	is.Equal(low.ask(epoch, &book, s, nil, 0, 0, 50), 15)
	high.ask(epoch, &book, s, nil, 20)
	next := epoch.Add(lend.RenewInterval)
	is.Equal(low.ask(next, &book, s, nil, 0, 0, 50), 0)
	low.ask(next.Add(time.Millisecond), &book, s, nil) // confirms that it uses none
	is.Equal(high.ask(next.Add(2*time.Millisecond), &book, s, nil, 20), 15)
	is.Equal(low.ask(next.Add(3*time.Millisecond), &book, s, nil, 0, 0, 50), 0)
}

// Guards against a lender whose own work waits while its slots are lent.
func TestLenderRecallsWhenItsWorkWaits(t *testing.T) {
	is := is.New(t)
	var book lend.Book
	b := side{name: "b", cell: 9}
	is.Equal(b.ask(epoch, &book, supply(10, 2), nil, 30), 15)
	busy := supply(10, 1)
	busy.Waiting = 5
	next := epoch.Add(lend.RenewInterval)
	used := []lend.Slots{{Target: "t00", Count: 1}}
	is.Equal(b.ask(next, &book, busy, used, 30), 0)
	b.ask(next.Add(time.Millisecond), &book, busy, used)
	is.Equal(lentTotal(&book, 10), 1) // the one that is in use
	b.ask(next.Add(2*time.Millisecond), &book, busy, nil)
	is.Equal(lentTotal(&book, 10), 0)
	is.Equal(b.ask(next.Add(lend.RenewInterval), &book, supply(10, 4), nil, 30), 0) // its own work may come back
	is.Equal(b.ask(next.Add(2*time.Second), &book, supply(10, 4), nil, 30), 30)
}

// Guards against slots that are used twice because an answer is lost, late or of an earlier grant: the
// lender counts what the borrower may still use by any answer.
func TestLostAnswersFreeNothing(t *testing.T) {
	is := is.New(t)
	var book lend.Book
	s := supply(4, 4)
	ask := func(now time.Time, sequence int64, version uint64, used []lend.Slots, need ...int) lend.Grant {
		return book.Answer(now, "b", &lend.Ask{Cell: 9, Need: need, Used: used, Version: version, Sequence: sequence}, &s)
	}
	first := ask(epoch, 1, 0, nil, 14)
	is.Equal(lend.Total(first.Slots), 14)
	// A smaller grant replaces it, but the borrower does not hear of it.
	is.Equal(lend.Total(ask(epoch.Add(100*time.Millisecond), 2, first.Version, nil, 1).Slots), 1)
	is.Equal(book.Total(), 14)
	ask(epoch.Add(200*time.Millisecond), 3, first.Version, nil, 1)
	is.Equal(book.Total(), 14)
	// A message that was overtaken changes nothing.
	last := ask(epoch.Add(300*time.Millisecond), 5, first.Version, nil, 1)
	ask(epoch.Add(400*time.Millisecond), 4, last.Version, nil)
	is.Equal(book.Total(), 14)
	ask(epoch.Add(500*time.Millisecond), 6, last.Version, nil, 1)
	is.Equal(book.Total(), 1)
}

// Guards against slots that are used while work of a lost borrower still runs there, and against slots
// that are lost for good with it.
func TestLostBorrowerKeepsSlotsUntilSettled(t *testing.T) {
	is := is.New(t)
	var book lend.Book
	s := supply(4, 4)
	b := side{name: "b", cell: 9}
	is.Equal(b.ask(epoch, &book, s, nil, 14), 14)
	lapsed := epoch.Add(lend.Lease + lend.Margin)
	lapsed = lapsed.Add(lend.ReportAge)
	book.Release(lapsed.Add(-time.Millisecond), "t00", 0)
	is.Equal(book.Total(), 14) // the lease still holds
	at := book.Lent("t00")
	book.Release(lapsed, "t00", 1) // the target reports one request of other cells
	is.Equal(book.Total(), 14-at+1)
	// The next dispatcher of the cell reports what all of its daemons have in flight.
	next := side{name: "c", cell: 9}
	next.ask(lapsed.Add(time.Millisecond), &book, s, []lend.Slots{{Target: "t01", Count: 2}})
	is.Equal(book.Total(), 2)
	is.Equal(book.Lent("t01"), 2)
	book.Expire(lapsed.Add(lend.Linger + time.Second))
	is.Equal(book.Total(), 0)
}

// Guards against a new dispatcher that uses what the one before it has lent.
func TestNextDispatcherAdoptsLoans(t *testing.T) {
	is := is.New(t)
	var before, after lend.Book
	s := supply(4, 4)
	b := side{name: "b", cell: 9}
	b.ask(epoch, &before, s, nil, 14)
	after.Adopt(epoch.Add(300*time.Millisecond), before.Loans(), false)
	is.Equal(after.Total(), 14)
	b.ask(epoch.Add(400*time.Millisecond), &after, s, nil, 14) // a grant of the new one
	is.Equal(after.Total(), 14)
	b.ask(epoch.Add(600*time.Millisecond), &after, s, nil, 3)
	b.ask(epoch.Add(610*time.Millisecond), &after, s, nil, 3)
	is.Equal(after.Total(), 3)
}

// Guards against grants that are exchanged back and forth under an even load: a moment in which a few
// requests wait is no reason to ask, and a cell that has lent does not borrow.
func TestShortWaitsCauseNoRequests(t *testing.T) {
	is := is.New(t)
	var b lend.Borrower
	n := lend.Need{Slots: 70, SlotTime: 400 * time.Millisecond}
	n.Waiting[2] = 10
	for i := range 100 {
		is.Equal(len(b.Plan(epoch.Add(time.Duration(i)*50*time.Millisecond), &n, 8, 8, nil)), 0)
	}
	n.Waiting[2], n.Lent = 300, true
	is.Equal(len(b.Plan(epoch.Add(6*time.Second), &n, 8, 8, nil)), 0)
	n.Lent = false
	is.Equal(len(b.Plan(epoch.Add(7*time.Second), &n, 8, 8, nil)), 2)
}

// Guards against a borrower whose messages grow with the fleet or with the time for which it finds
// nothing.
func TestRequestsAreBounded(t *testing.T) {
	for _, cells := range []int{2, 8, 32, 256} {
		is := is.New(t)
		var b lend.Borrower
		n := lend.Need{Slots: 70, SlotTime: 400 * time.Millisecond}
		n.Waiting[0] = 500
		asked, byCell := 0, map[int]int{}
		for i := range 20 * 10 { // ten seconds
			now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
			for _, c := range b.Plan(now, &n, cells, cells+1, nil) {
				is.True(c.Cell != cells+1)
				asked++
				byCell[c.Cell]++
				b.Apply(now, c.Cell, now, &lend.Grant{})
			}
		}
		is.True(asked <= 100)
		is.True(byCell[cells] >= min(10, 100/cells)-1)
	}
}

// Guards against a borrower that asks several lenders for the same work, and that keeps slots it no
// longer needs.
func TestBorrowerReturnsWhatItDoesNotNeed(t *testing.T) {
	is := is.New(t)
	var b lend.Borrower
	n := lend.Need{Slots: 70, SlotTime: 400 * time.Millisecond}
	n.Waiting[0] = 40
	now := epoch
	calls := b.Plan(now, &n, 4, 4, nil)
	is.Equal(len(calls), 2)
	g := lend.Grant{Version: 7, Slots: []lend.Slots{{Target: "t1", Count: 30}}, Counted: 30}
	b.Apply(now, calls[0].Cell, now.Add(lend.Lease), &g)
	lender := calls[0].Cell
	now = now.Add(lend.RenewInterval)
	for _, c := range b.Plan(now, &n, 4, 4, nil) {
		want := 10 // the others are covered by the idle slots
		if c.Cell == lender {
			want = 40
			is.Equal(c.Ask.Version, uint64(7))
		}
		is.Equal(c.Ask.Need[0], want)
	}
	b.Apply(now, lender, now.Add(lend.Lease), &lend.Grant{Version: 7, Same: true, Counted: 30})
	n.Waiting[0] = 0
	for range 3 {
		now = now.Add(lend.RenewInterval)
		calls = b.Plan(now, &n, 4, 4, nil)
	}
	is.Equal(len(calls), 1)
	is.Equal(len(calls[0].Ask.Need), 0)
	b.Apply(now, lender, now, &lend.Grant{Version: 8, Counted: 30})
	calls = b.Plan(now, &n, 4, 4, nil) // confirms at once
	is.Equal(calls[0].Ask.Version, uint64(8))
	b.Apply(now, lender, now, &lend.Grant{})
	is.Equal(len(b.Plan(now.Add(time.Second), &n, 4, 4, nil)), 0)
}

// BenchmarkAnswer measures a renewal at a lender with all borrowers that it keeps.
func BenchmarkAnswer(b *testing.B) {
	var book lend.Book
	s := supply(25, 4)
	asks := make([]lend.Ask, lend.MaxBorrowers)
	names := []string{"a", "b", "c", "d"}
	for i := range asks {
		asks[i] = lend.Ask{Cell: i, Need: []int{0, 5, 20}, Used: []lend.Slots{{Target: fmt.Sprintf("t%02d", i), Count: 1}}}
	}
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := i % len(asks)
		now = now.Add(time.Millisecond)
		asks[k].Sequence = int64(i + 1)
		g := book.Answer(now, names[k], &asks[k], &s)
		asks[k].Version = g.Version
	}
}

// BenchmarkPlan measures a round of a borrower with four lenders.
func BenchmarkPlan(b *testing.B) {
	var br lend.Borrower
	n := lend.Need{Slots: 70, SlotTime: 400 * time.Millisecond}
	n.Waiting[1] = 300
	now := epoch
	for cell := 8; cell < 12; cell++ {
		br.Apply(now, cell, now.Add(time.Hour), &lend.Grant{Version: 1, Counted: 9, Slots: []lend.Slots{{Target: "t", Count: 9}}})
		u := lend.Use{Cell: cell}
		u.ByRank[1] = 5
		n.Used = append(n.Used, u)
	}
	var calls []lend.Call
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(lend.RenewInterval)
		calls = br.Plan(now, &n, 8, 15, calls[:0])
	}
}

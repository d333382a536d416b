package lending_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// twoCells starts a fleet of two cells, of which the second one has free slots. It returns the cells.
func twoCells(t *testing.T, lends bool) (c *cluster, needy, idle int) {
	t.Helper()
	c = start(t, 16, 16, lends)
	time.Sleep(2 * time.Second)
	if n := len(c.cells()); n != 2 {
		t.Fatalf("%d cells", n)
	}
	return c, 2, 3
}

// Guards against requests that wait and are refused at one cell while another has free slots.
func TestCellBorrowsFreeSlots(t *testing.T) {
	served := map[bool]int{}
	for _, lends := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c, needy, idle := twoCells(t, lends)
			began := time.Now()
			s := c.stream(c.cells()[needy], 130, 1, 5*time.Second)
			s.wg.Wait()
			served[lends] = int(s.served.Load())
			t.Logf("lends %v: %d of %d served, %d borrowed", lends, served[lends], s.sent.Load(), c.borrowedSince(idle, began))
			c.checkSlots()
			is.Equal(c.borrowedSince(idle, began) > 100, lends)
			messages, _ := c.traffic()
			is.Equal(messages > 0, lends)
		})
	}
	is.New(t).True(served[true] >= served[false]+80)
}

// Guards against a lender whose own work waits: when it comes, the slots are back within a second.
func TestLenderHasItsSlotsBackWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, needy, idle := twoCells(t, true)
		s := c.stream(c.cells()[needy], 200, 1, 6*time.Second)
		time.Sleep(2 * time.Second)
		is.True(c.borrowedSince(idle, time.Now().Add(-time.Second)) > 20)
		own := c.stream(c.cells()[idle], 200, 1, 3*time.Second)
		time.Sleep(800 * time.Millisecond)
		is.Equal(c.borrowedSince(idle, time.Now().Add(-200*time.Millisecond)), 0)
		time.Sleep(400 * time.Millisecond)
		from := time.Now()
		time.Sleep(time.Second)
		is.Equal(c.borrowedSince(idle, from), 0)
		s.wg.Wait()
		own.wg.Wait()
		c.checkSlots()
	})
}

// failures are what happens to a lender or a borrower, whose cells' dispatchers are the first of their
// daemons.
var failures = map[string]func(c *cluster, needy, idle []*node){
	"lender killed":         func(c *cluster, _, idle []*node) { c.kill(idle[0].name) },
	"lender and its deputy": func(c *cluster, _, idle []*node) { c.kill(idle[0].name); c.kill(idle[1].name) },
	"lender starved":        func(c *cluster, _, idle []*node) { c.setDelay(idle[0].name, 150*time.Millisecond) },
	"lender stalled":        func(c *cluster, _, idle []*node) { c.setDelay(idle[0].name, 700*time.Millisecond) },
	"lender cut off":        func(c *cluster, _, idle []*node) { c.isolate(idle[0].name) },
	"borrower killed":       func(c *cluster, needy, _ []*node) { c.kill(needy[0].name) },
	"borrower starved":      func(c *cluster, needy, _ []*node) { c.setDelay(needy[0].name, 150*time.Millisecond) },
	"borrower stalled":      func(c *cluster, needy, _ []*node) { c.setDelay(needy[0].name, 700*time.Millisecond) },
	"borrower cut off":      func(c *cluster, needy, _ []*node) { c.isolate(needy[0].name) },
	"partitioned fleet": func(c *cluster, needy, idle []*node) {
		group := map[string]bool{}
		for _, d := range idle {
			group[d.name] = true
		}
		c.setCut(func(a, b string) bool { return group[a] != group[b] })
	},
	"daemon of the borrower cut off": func(c *cluster, needy, _ []*node) { c.isolate(needy[2].name) },
	"daemon of the lender cut off":   func(c *cluster, _, idle []*node) { c.isolate(idle[2].name) },
}

func (c *cluster) setDelay(name string, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay[name] = delay
}

func (c *cluster) setCut(cut func(a, b string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// isolate cuts a daemon off from all others.
func (c *cluster) isolate(name string) {
	c.setCut(func(a, b string) bool { return a == name || b == name })
}

// Guards against a target that gets more than its slots when one of the two that share it is lost, late
// or cut off, while work waits at both cells; and against work that is no longer served then. A cell
// without lending exceeds slots as well while two daemons place its work, so the same failure is run
// without lending, and may not be exceeded by more.
func TestFailuresExceedNoTarget(t *testing.T) {
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			excess, served := map[bool]int{}, map[bool]int{}
			lenderSound := !strings.Contains(name, "lender")
			for _, lends := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					c, needy, idle := twoCells(t, lends)
					cells := c.cells()
					s := c.stream(cells[needy], 140, 1, 6*time.Second)
					o := c.stream(cells[idle], 30, 1, 2*time.Second)
					time.Sleep(2 * time.Second)
					if lends && c.borrowedSince(idle, time.Now().Add(-time.Second)) < 20 {
						t.Error("nothing borrowed before the failure")
					}
					fail(c, cells[needy], cells[idle])
					own := c.stream(cells[idle], 120, 1, 3*time.Second)
					s.wg.Wait()
					own.wg.Wait()
					o.wg.Wait()
					served[lends] = int(s.served.Load() + own.served.Load())
					excess[lends] = c.mostExcess(0)
					if most := c.mostExcess(idle); lends && lenderSound && most > 0 {
						t.Errorf("a target of the lender had %d requests above its slots", most)
					}
				})
			}
			t.Logf("most above the slots: %d without, %d with lending; served %d and %d", excess[false], excess[true], served[false], served[true])
			if excess[true] > max(excess[false], 0) {
				t.Errorf("a target had %d requests above its slots, %d without lending", excess[true], excess[false])
			}
			if served[true]*100 < served[false]*97 {
				t.Errorf("%d requests served, %d without lending", served[true], served[false])
			}
		})
	}
}

// mostExcess returns by how many requests the slots of a target of the cell, or of any if it is 0, were
// exceeded at most.
func (c *cluster) mostExcess(owner int) int {
	owners := c.owners()
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for target, n := range c.mostRunning {
		if owner == 0 || owners[target] == owner {
			most = max(most, n-slotsPerTarget)
		}
	}
	return most
}

// Guards against a target that gets more than its slots from two cells that need them at once, and
// against a cell in need that gets nothing. Four cells, of which two need more than they have.
func TestTwoCellsBorrowAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := start(t, 30, 40, true)
		time.Sleep(2 * time.Second)
		cells, began := c.cells(), time.Now()
		is.Equal(len(cells), 4)
		a := c.stream(cells[4], 160, 1, 5*time.Second)
		b := c.stream(cells[5], 160, 1, 5*time.Second)
		a.wg.Wait()
		b.wg.Wait()
		c.checkSlots()
		by := map[int]int{}
		for _, all := range c.arrivals {
			for _, r := range all {
				by[r.cell]++
			}
		}
		t.Logf("served %d of %d and %d of %d; borrowed %d and %d at the others", a.served.Load(), a.sent.Load(), b.served.Load(), b.sent.Load(), c.borrowedSince(6, began), c.borrowedSince(7, began))
		is.True(c.borrowedSince(6, began)+c.borrowedSince(7, began) > 200)
		is.True(a.served.Load()*10 >= a.sent.Load()*9)
		is.True(b.served.Load()*10 >= b.sent.Load()*9)
	})
}

// Guards against slots that go to low ranks of one cell while higher ones wait at another: two cells
// need the slots of the others, one for rank 0 and one for rank 3.
func TestHigherRankGetsLentSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := start(t, 30, 40, true)
		time.Sleep(2 * time.Second)
		cells := c.cells()
		low := c.stream(cells[4], 320, 3, 6*time.Second)
		time.Sleep(2 * time.Second)
		high := c.stream(cells[5], 320, 0, 4*time.Second)
		time.Sleep(1500 * time.Millisecond)
		from, byRank := time.Now(), map[int]int{}
		high.wg.Wait()
		low.wg.Wait()
		owners := c.owners()
		for target, all := range c.arrivals {
			for _, r := range all {
				if owners[target] != r.cell && !r.at.Before(from) && r.at.Before(from.Add(2*time.Second)) {
					byRank[r.rank]++
				}
			}
		}
		t.Logf("borrowed by rank: %v", byRank)
		is.True(byRank[0] > 4*byRank[3])
		c.checkSlots()
	})
}

// Guards against requests that are sent to a target of another cell after it has begun to leave, or that
// are lost with it: its registration says so, or only its answers.
func TestTargetLeavesWhileLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, needy, idle := twoCells(t, true)
		s := c.stream(c.cells()[needy], 130, 1, 5*time.Second)
		time.Sleep(2 * time.Second)
		owners, leaving := c.owners(), map[string]bool{}
		for i := range c.targets {
			if owners[c.targets[i].Name] == idle && len(leaving) < 3 {
				leaving[c.targets[i].Name] = true
			}
		}
		c.drain(leaving)
		time.Sleep(10 * time.Millisecond)
		from := time.Now()
		s.wg.Wait()
		for target := range leaving {
			for _, a := range c.arrivals[target] {
				is.True(a.at.Before(from))
			}
		}
		is.True(c.borrowedSince(idle, from) > 50) // at the others
		is.True(int(s.served.Load()) >= int(s.sent.Load())*9/10)
		c.checkSlots()
	})
}

// Guards against targets that get more than their slots while all daemons start, with the first requests
// at one cell only.
func TestAllStartAtOnce(t *testing.T) {
	for _, daemons := range []int{16, 30} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := start(t, daemons, 40, true)
			time.Sleep(700 * time.Millisecond)
			var streams []*stream
			for id, daemons := range c.cells() {
				perSecond := 40
				if id%2 == 0 {
					perSecond = 250
				}
				streams = append(streams, c.stream(daemons, perSecond, 1, 3*time.Second))
			}
			sent, served := 0, 0
			for _, s := range streams {
				s.wg.Wait()
				sent, served = sent+int(s.sent.Load()), served+int(s.served.Load())
			}
			t.Logf("%d daemons: %d of %d served", daemons, served, sent)
			is.True(served*10 >= sent*8)
			c.checkSlots()
		})
	}
}

// Guards against messages under an even load, and against messages that go on when the need is over.
func TestNoMessagesWithoutNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, needy, idle := twoCells(t, true)
		a := c.stream(c.cells()[needy], 50, 1, 5*time.Second)
		b := c.stream(c.cells()[idle], 50, 1, 5*time.Second)
		a.wg.Wait()
		b.wg.Wait()
		before, _ := c.traffic()
		is.Equal(before, 0)
		s := c.stream(c.cells()[needy], 200, 1, 4*time.Second)
		s.wg.Wait()
		during, bytes := c.traffic()
		is.True(during > 10)
		t.Logf("%d messages with their answers, %d bytes in 4 s of need", during, bytes)
		time.Sleep(2 * time.Second)
		settled, _ := c.traffic()
		time.Sleep(5 * time.Second)
		after, _ := c.traffic()
		is.Equal(after, settled)
	})
}

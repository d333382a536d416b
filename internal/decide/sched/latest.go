package sched

import "time"

// schedule puts an item into the heap of latest starts.
func (s *Scheduler) schedule(slot int32, latest time.Time) {
	s.items[slot].latest = latest
	s.latest = append(s.latest, slot)
	s.items[slot].pos = int32(len(s.latest) - 1)
	s.up(len(s.latest) - 1)
}

// unschedule takes an item out of the heap.
func (s *Scheduler) unschedule(slot int32) {
	at := int(s.items[slot].pos)
	if at < 0 {
		return
	}
	s.items[slot].pos = none
	n := len(s.latest) - 1
	last := s.latest[n]
	s.latest = s.latest[:n]
	if at == n {
		return
	}
	s.latest[at] = last
	s.items[last].pos = int32(at)
	s.down(s.up(at))
}

func (s *Scheduler) sooner(a, b int32) bool {
	return s.items[a].latest.Before(s.items[b].latest)
}

func (s *Scheduler) up(i int) int {
	for i > 0 {
		p := (i - 1) / 2
		if !s.sooner(s.latest[i], s.latest[p]) {
			break
		}
		s.swap(i, p)
		i = p
	}
	return i
}

func (s *Scheduler) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(s.latest) {
			return
		}
		if c+1 < len(s.latest) && s.sooner(s.latest[c+1], s.latest[c]) {
			c++
		}
		if !s.sooner(s.latest[c], s.latest[i]) {
			return
		}
		s.swap(i, c)
		i = c
	}
}

func (s *Scheduler) swap(i, j int) {
	s.latest[i], s.latest[j] = s.latest[j], s.latest[i]
	s.items[s.latest[i]].pos = int32(i)
	s.items[s.latest[j]].pos = int32(j)
}

package sched

import "time"

// pushStart adds an item to the heap of latest start times.
func (s *Scheduler) pushStart(id int32, latest time.Time) {
	s.items[id].latestStart = latest
	s.startHeap = append(s.startHeap, id)
	s.items[id].heapPos = int32(len(s.startHeap) - 1)
	s.siftUp(len(s.startHeap) - 1)
}

// removeStart removes an item from the heap if it is there.
func (s *Scheduler) removeStart(id int32) {
	at := int(s.items[id].heapPos)
	if at < 0 {
		return
	}
	s.items[id].heapPos = none
	n := len(s.startHeap) - 1
	last := s.startHeap[n]
	s.startHeap = s.startHeap[:n]
	if at == n {
		return
	}
	s.startHeap[at] = last
	s.items[last].heapPos = int32(at)
	s.siftDown(s.siftUp(at))
}

func (s *Scheduler) startsBefore(a, b int32) bool {
	return s.items[a].latestStart.Before(s.items[b].latestStart)
}

func (s *Scheduler) siftUp(i int) int {
	for i > 0 {
		p := (i - 1) / 2
		if !s.startsBefore(s.startHeap[i], s.startHeap[p]) {
			break
		}
		s.swap(i, p)
		i = p
	}
	return i
}

func (s *Scheduler) siftDown(i int) {
	for {
		c := 2*i + 1
		if c >= len(s.startHeap) {
			return
		}
		if c+1 < len(s.startHeap) && s.startsBefore(s.startHeap[c+1], s.startHeap[c]) {
			c++
		}
		if !s.startsBefore(s.startHeap[c], s.startHeap[i]) {
			return
		}
		s.swap(i, c)
		i = c
	}
}

func (s *Scheduler) swap(i, j int) {
	s.startHeap[i], s.startHeap[j] = s.startHeap[j], s.startHeap[i]
	s.items[s.startHeap[i]].heapPos = int32(i)
	s.items[s.startHeap[j]].heapPos = int32(j)
}

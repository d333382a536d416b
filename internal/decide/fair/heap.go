package fair

// order compares two teams in one of a tier's two heaps.
type order int8

const (
	// byTag puts the lowest virtual start first.
	byTag order = iota
	// byLoad puts the most waiting tokens for its weight first.
	byLoad
)

func (q *Queue) less(a, b int32, by order) bool {
	s, t := &q.teams[a], &q.teams[b]
	if by == byTag {
		if s.tag != t.tag {
			return s.tag < t.tag
		}
		return s.name < t.name
	}
	x, y := float64(s.tokens)*t.weight, float64(t.tokens)*s.weight
	if x != y {
		return x > y
	}
	return s.name < t.name
}

func (q *Queue) place(h []int32, at int, i int32, by order) {
	h[at] = i
	if by == byTag {
		q.teams[i].turn = int32(at)
		return
	}
	q.teams[i].load = int32(at)
}

func (q *Queue) push(h *[]int32, i int32, by order) {
	*h = append(*h, i)
	q.place(*h, len(*h)-1, i, by)
	q.fix(*h, int32(len(*h)-1), by)
}

func (q *Queue) pop(h *[]int32, at int32, by order) {
	n := len(*h) - 1
	last := (*h)[n]
	*h = (*h)[:n]
	if int(at) == n {
		return
	}
	q.place(*h, int(at), last, by)
	q.fix(*h, at, by)
}

// fix restores the heap around one position whose key has changed.
func (q *Queue) fix(h []int32, at int32, by order) {
	i := q.up(h, int(at), by)
	q.down(h, i, by)
}

func (q *Queue) up(h []int32, i int, by order) int {
	for i > 0 {
		p := (i - 1) / 2
		if !q.less(h[i], h[p], by) {
			break
		}
		q.swap(h, i, p, by)
		i = p
	}
	return i
}

func (q *Queue) down(h []int32, i int, by order) {
	for {
		c := 2*i + 1
		if c >= len(h) {
			return
		}
		if c+1 < len(h) && q.less(h[c+1], h[c], by) {
			c++
		}
		if !q.less(h[c], h[i], by) {
			return
		}
		q.swap(h, i, c, by)
		i = c
	}
}

func (q *Queue) swap(h []int32, i, j int, by order) {
	a, b := h[i], h[j]
	q.place(h, i, b, by)
	q.place(h, j, a, by)
}

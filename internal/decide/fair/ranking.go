package fair

// teamHeap is an indexed heap of teams: the lowest key is first. Keys stand in
// the heap itself, so that a comparison does not fetch two teams from memory.
type teamHeap struct {
	nodes []node
	// byLoad is true for the ranking by load, whose positions teams keep in load;
	// those of the other they keep in turn.
	byLoad bool
}

// node is a team with its key.
type node struct {
	key  float64
	team int32
}

// less orders by key, and by number where keys are equal, so that the same
// calls give the same order.
func (n node) less(m node) bool {
	if n.key != m.key {
		return n.key < m.key
	}
	return n.team < m.team
}

func (r *teamHeap) len() int { return len(r.nodes) }

func (r *teamHeap) top() int32 { return r.nodes[0].team }

// set stores a node and tells its team where.
func (r *teamHeap) set(teams []team, at int, n node) {
	r.nodes[at] = n
	if r.byLoad {
		teams[n.team].loadIndex = int32(at)
		return
	}
	teams[n.team].tagIndex = int32(at)
}

func (r *teamHeap) push(teams []team, i int32, key float64) {
	r.nodes = append(r.nodes, node{})
	r.siftUp(teams, len(r.nodes)-1, node{key: key, team: i})
}

// remove takes the node at a position out.
func (r *teamHeap) remove(teams []team, at int32) {
	n := len(r.nodes) - 1
	last := r.nodes[n]
	r.nodes = r.nodes[:n]
	if int(at) < n {
		r.fix(teams, int(at), last)
	}
}

// update changes the key at a position.
func (r *teamHeap) update(teams []team, at int32, key float64) {
	r.fix(teams, int(at), node{key: key, team: r.nodes[at].team})
}

// fix puts a node where it belongs, starting from a free position.
func (r *teamHeap) fix(teams []team, at int, n node) {
	if at > 0 && n.less(r.nodes[(at-1)/2]) {
		r.siftUp(teams, at, n)
		return
	}
	r.siftDown(teams, at, n)
}

func (r *teamHeap) siftUp(teams []team, at int, n node) {
	for at > 0 {
		p := (at - 1) / 2
		if !n.less(r.nodes[p]) {
			break
		}
		r.set(teams, at, r.nodes[p])
		at = p
	}
	r.set(teams, at, n)
}

func (r *teamHeap) siftDown(teams []team, at int, n node) {
	for {
		c := 2*at + 1
		if c >= len(r.nodes) {
			break
		}
		if c+1 < len(r.nodes) && r.nodes[c+1].less(r.nodes[c]) {
			c++
		}
		if !r.nodes[c].less(n) {
			break
		}
		r.set(teams, at, r.nodes[c])
		at = c
	}
	r.set(teams, at, n)
}

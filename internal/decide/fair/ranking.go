package fair

// ranking is an indexed heap of teams: the lowest key is first. Keys stand in
// the heap itself, so that a comparison does not fetch two teams from memory.
type ranking struct {
	nodes []node
	// load is true for the ranking by load, whose positions teams keep in load;
	// those of the other they keep in turn.
	load bool
}

// node is a team with its key.
type node struct {
	key  float64
	team int32
}

// before orders by key, and by number where keys are equal, so that the same
// calls give the same order.
func (n node) before(m node) bool {
	if n.key != m.key {
		return n.key < m.key
	}
	return n.team < m.team
}

func (r *ranking) len() int { return len(r.nodes) }

func (r *ranking) first() int32 { return r.nodes[0].team }

// put stores a node and tells its team where.
func (r *ranking) put(teams []team, at int, n node) {
	r.nodes[at] = n
	if r.load {
		teams[n.team].load = int32(at)
		return
	}
	teams[n.team].turn = int32(at)
}

func (r *ranking) push(teams []team, i int32, key float64) {
	r.nodes = append(r.nodes, node{})
	r.up(teams, len(r.nodes)-1, node{key: key, team: i})
}

// remove takes the node at a position out.
func (r *ranking) remove(teams []team, at int32) {
	n := len(r.nodes) - 1
	last := r.nodes[n]
	r.nodes = r.nodes[:n]
	if int(at) < n {
		r.settle(teams, int(at), last)
	}
}

// update changes the key at a position.
func (r *ranking) update(teams []team, at int32, key float64) {
	r.settle(teams, int(at), node{key: key, team: r.nodes[at].team})
}

// settle puts a node where it belongs, starting from a free position.
func (r *ranking) settle(teams []team, at int, n node) {
	if at > 0 && n.before(r.nodes[(at-1)/2]) {
		r.up(teams, at, n)
		return
	}
	r.down(teams, at, n)
}

func (r *ranking) up(teams []team, at int, n node) {
	for at > 0 {
		p := (at - 1) / 2
		if !n.before(r.nodes[p]) {
			break
		}
		r.put(teams, at, r.nodes[p])
		at = p
	}
	r.put(teams, at, n)
}

func (r *ranking) down(teams []team, at int, n node) {
	for {
		c := 2*at + 1
		if c >= len(r.nodes) {
			break
		}
		if c+1 < len(r.nodes) && r.nodes[c+1].before(r.nodes[c]) {
			c++
		}
		if !r.nodes[c].before(n) {
			break
		}
		r.put(teams, at, r.nodes[c])
		at = c
	}
	r.put(teams, at, n)
}

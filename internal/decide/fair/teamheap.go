package fair

// teamHeap is an indexed min-heap of teams. Keys are stored in the heap itself, so that a
// comparison does not load two teams from memory.
type teamHeap struct {
	nodes []node
	// byLoad is true for the heap by load, whose positions are kept in team.loadIndex;
	// positions in the heap by tag are kept in team.tagIndex.
	byLoad bool
}

// node is a team and its key.
type node struct {
	key  float64
	team int32
}

// less orders by key, and by team number for equal keys, so that the order is
// deterministic.
func (n node) less(m node) bool {
	if n.key != m.key {
		return n.key < m.key
	}
	return n.team < m.team
}

func (h *teamHeap) len() int { return len(h.nodes) }

func (h *teamHeap) top() int32 { return h.nodes[0].team }

// set stores a node and records its position in the team.
func (h *teamHeap) set(teams []team, pos int, n node) {
	h.nodes[pos] = n
	if h.byLoad {
		teams[n.team].loadIndex = int32(pos)
		return
	}
	teams[n.team].tagIndex = int32(pos)
}

func (h *teamHeap) push(teams []team, i int32, key float64) {
	h.nodes = append(h.nodes, node{})
	h.siftUp(teams, len(h.nodes)-1, node{key: key, team: i})
}

// remove deletes the node at a position.
func (h *teamHeap) remove(teams []team, pos int32) {
	n := len(h.nodes) - 1
	last := h.nodes[n]
	h.nodes = h.nodes[:n]
	if int(pos) < n {
		h.fix(teams, int(pos), last)
	}
}

// update changes the key at a position.
func (h *teamHeap) update(teams []team, pos int32, key float64) {
	h.fix(teams, int(pos), node{key: key, team: h.nodes[pos].team})
}

// fix places n at a free position, or wherever the heap order then requires.
func (h *teamHeap) fix(teams []team, pos int, n node) {
	if pos > 0 && n.less(h.nodes[(pos-1)/2]) {
		h.siftUp(teams, pos, n)
		return
	}
	h.siftDown(teams, pos, n)
}

func (h *teamHeap) siftUp(teams []team, pos int, n node) {
	for pos > 0 {
		parent := (pos - 1) / 2
		if !n.less(h.nodes[parent]) {
			break
		}
		h.set(teams, pos, h.nodes[parent])
		pos = parent
	}
	h.set(teams, pos, n)
}

func (h *teamHeap) siftDown(teams []team, pos int, n node) {
	for {
		child := 2*pos + 1
		if child >= len(h.nodes) {
			break
		}
		if child+1 < len(h.nodes) && h.nodes[child+1].less(h.nodes[child]) {
			child++
		}
		if !h.nodes[child].less(n) {
			break
		}
		h.set(teams, pos, h.nodes[child])
		pos = child
	}
	h.set(teams, pos, n)
}

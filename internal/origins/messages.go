package origins

import (
	"encoding/binary"
	"slices"

	"github.com/fireflypath/fireflypath/internal/decide/origin"
)

const (
	methodRecord = "origins.record"
	methodFind   = "origins.find"
	// keySize is the size of a key in a message, in bytes.
	keySize = 8
)

// recordMessage carries records, grouped by where the streams began.
type recordMessage struct {
	Groups []recordGroup `json:"g"`
}

type recordGroup struct {
	Pool    string `json:"p"`
	Version string `json:"v"`
	// Keys holds keySize bytes for each stream, Works as many for each work.
	Keys  []byte `json:"k,omitempty"`
	Works []byte `json:"w,omitempty"`
}

// findRequest asks for evidence.
type findRequest struct {
	Key   uint64   `json:"k,omitempty"`
	Pools []string `json:"p"`
	// OfWork is true if Key is that of a work.
	OfWork bool `json:"o,omitempty"`
	// Await asks for evidence from a view that is later than the request.
	Await bool `json:"w,omitempty"`
}

// findResponse is the evidence of one daemon.
type findResponse struct {
	Found       bool     `json:"f,omitempty"`
	Conflicting bool     `json:"x,omitempty"`
	Pool        string   `json:"p,omitempty"`
	Version     string   `json:"v,omitempty"`
	Versions    []string `json:"a,omitempty"`
	Pools       []string `json:"o,omitempty"`
	Complete    bool     `json:"c,omitempty"`
	Settled     bool     `json:"s,omitempty"`
	// Current is true if the view is later than the request.
	Current bool `json:"t,omitempty"`
}

func (f *findResponse) evidence() origin.Evidence {
	return origin.Evidence{
		Found: f.Found, Conflicting: f.Conflicting, Origin: origin.Origin{Pool: f.Pool, Version: f.Version},
		Versions: f.Versions, Pools: f.Pools, Complete: f.Complete, Settled: f.Settled,
	}
}

// add adds a record to a message.
func (m *recordMessage) add(id recordID, o origin.Origin) {
	i := slices.IndexFunc(m.Groups, func(g recordGroup) bool { return g.Pool == o.Pool && g.Version == o.Version })
	if i < 0 {
		i = len(m.Groups)
		m.Groups = append(m.Groups, recordGroup{Pool: o.Pool, Version: o.Version})
	}
	keys := &m.Groups[i].Keys
	if id.ofWork {
		keys = &m.Groups[i].Works
	}
	*keys = binary.BigEndian.AppendUint64(*keys, uint64(id.key))
}

// each calls fn for each record of a message.
func (m *recordMessage) each(fn func(recordID, origin.Origin)) {
	for _, g := range m.Groups {
		eachKey(g.Keys, func(key origin.Key) { fn(recordID{key: key}, origin.Origin{Pool: g.Pool, Version: g.Version}) })
		eachKey(g.Works, func(key origin.Key) { fn(recordID{key, true}, origin.Origin{Pool: g.Pool, Version: g.Version}) })
	}
}

func eachKey(keys []byte, fn func(origin.Key)) {
	for ; len(keys) >= keySize; keys = keys[keySize:] {
		fn(origin.Key(binary.BigEndian.Uint64(keys)))
	}
}

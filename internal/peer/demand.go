package peer

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Demand is the compact form of fireflypath.Demand on the wire. It is sent to about
// twelve peers every second and is therefore encoded as the text "SLOTS WAITING
// RUNNING POOL", which takes half the bytes of a JSON object with field names.
type Demand struct {
	Pool string
	// Slots is the sum of the learned concurrency windows of the pool's targets, in
	// requests.
	Slots int
	// WaitingRequests and RunningRequests count the requests by rank.
	WaitingRequests []int
	RunningRequests []int
}

// Equal reports whether two demands are the same.
func (d Demand) Equal(o Demand) bool {
	return d.Pool == o.Pool && d.Slots == o.Slots && slices.Equal(d.WaitingRequests, o.WaitingRequests) && slices.Equal(d.RunningRequests, o.RunningRequests)
}

// MarshalText implements encoding.TextMarshaler.
func (d Demand) MarshalText() ([]byte, error) {
	b := strconv.AppendInt(nil, int64(d.Slots), 10)
	b = appendCounts(append(b, ' '), d.WaitingRequests)
	b = appendCounts(append(b, ' '), d.RunningRequests)
	return append(append(b, ' '), d.Pool...), nil
}

// appendCounts appends counts separated by commas.
func appendCounts(b []byte, vs []int) []byte {
	for i, v := range vs {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(v), 10)
	}
	return b
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Demand) UnmarshalText(text []byte) error {
	const fields = 4 // the pool's name comes last and may contain spaces
	parts := strings.SplitN(string(text), " ", fields)
	if len(parts) != fields {
		return errors.Wrap(errMalformed, "demand")
	}
	slots, err := strconv.Atoi(parts[0])
	if err != nil {
		return errors.Wrap(errMalformed, "slots of a demand")
	}
	d.Slots, d.Pool = slots, parts[fields-1]
	if d.WaitingRequests, err = parseCounts(parts[1]); err != nil {
		return err
	}
	d.RunningRequests, err = parseCounts(parts[2])
	return err
}

// parseCounts parses the output of appendCounts.
func parseCounts(text string) ([]int, error) {
	if text == "" {
		return nil, nil
	}
	var out []int
	for _, field := range strings.Split(text, ",") {
		v, err := strconv.Atoi(field)
		if err != nil {
			return nil, errors.Wrap(errMalformed, "count of a demand")
		}
		out = append(out, v)
	}
	return out, nil
}

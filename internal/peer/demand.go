package peer

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Demand is the short form of fireflypath.Demand. It is sent to a dozen peers
// each second, and so written as text, "SLOTS WAITING RUNNING POOL": half the
// bytes of an object with names.
type Demand struct {
	Pool string
	// Slots is the learned window of the pool's targets in requests.
	Slots int
	// WaitingRequests wait, Busy ones run, both by rank.
	WaitingRequests []int
	RunningRequests []int
}

// Equal reports whether two lines say the same.
func (d Demand) Equal(o Demand) bool {
	return d.Pool == o.Pool && d.Slots == o.Slots && slices.Equal(d.WaitingRequests, o.WaitingRequests) && slices.Equal(d.RunningRequests, o.RunningRequests)
}

// MarshalText writes the short form.
func (d Demand) MarshalText() ([]byte, error) {
	b := strconv.AppendInt(nil, int64(d.Slots), 10)
	b = appendCounts(append(b, ' '), d.WaitingRequests)
	b = appendCounts(append(b, ' '), d.RunningRequests)
	return append(append(b, ' '), d.Pool...), nil
}

func appendCounts(b []byte, vs []int) []byte {
	for i, v := range vs {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(v), 10)
	}
	return b
}

// UnmarshalText reads the short form.
func (d *Demand) UnmarshalText(text []byte) error {
	const fields = 4 // the pool's name is last and may hold spaces
	parts := strings.SplitN(string(text), " ", fields)
	if len(parts) != fields {
		return errors.Wrap(errMalformed, "demand")
	}
	slots, err := strconv.Atoi(parts[0])
	if err != nil {
		return errors.Wrap(errMalformed, "slots of a demand")
	}
	d.Slots, d.Pool = slots, parts[fields-1]
	if d.WaitingRequests, err = counts(parts[1]); err != nil {
		return err
	}
	d.RunningRequests, err = counts(parts[2])
	return err
}

func counts(text string) ([]int, error) {
	if text == "" {
		return nil, nil
	}
	var out []int
	for _, w := range strings.Split(text, ",") {
		v, err := strconv.Atoi(w)
		if err != nil {
			return nil, errors.Wrap(errMalformed, "count of a demand")
		}
		out = append(out, v)
	}
	return out, nil
}

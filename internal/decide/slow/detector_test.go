package slow

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A target answers ten times slower from one moment on. It must be out within a
// few answers, get one probe after its pause, and be back after a good one.
func TestStragglerIsEjectedAndProbedBack(t *testing.T) {
	is := is.New(t)
	var d Detector
	for range 20 {
		d.Sample(t0, 1, 1)
	}
	is.Equal(d.State(), Ready)
	n := 0
	for d.State() != Ejected {
		d.Sample(t0, 10, 1)
		n++
	}
	is.True(n <= 3)
	is.Equal(d.Due(), t0.Add(pause))
	d.Probe()
	is.Equal(d.State(), Probing)
	d.Sample(t0, 10, 1)
	is.Equal(d.State(), Ejected)
	is.Equal(d.Due(), t0.Add(2*pause))
	d.Probe()
	d.Sample(t0, 1, 1)
	is.Equal(d.State(), Ready)
}

// All targets slow down together under overload. None of them is a straggler.
func TestOverloadEjectsNobody(t *testing.T) {
	is := is.New(t)
	var d Detector
	for range 50 {
		d.Sample(t0, 8, 8)
	}
	is.Equal(d.State(), Ready)
}

package slow

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// From one moment on a target answers ten times slower. It must be ejected within a
// few answers, receive one probe after the ejection, and be ready after a good
// answer.
func TestStragglerEjectedAndReadmittedByProbe(t *testing.T) {
	is := is.New(t)
	var d Detector
	for range 20 {
		d.Sample(start, 1, 1)
	}
	is.Equal(d.State(), Ready)
	n := 0
	for d.State() != Ejected {
		d.Sample(start, 10, 1)
		n++
	}
	is.True(n <= 3)
	is.Equal(d.Due(), start.Add(minEjection))
	d.Probe()
	is.Equal(d.State(), Probing)
	d.Sample(start, 10, 1)
	is.Equal(d.State(), Ejected)
	is.Equal(d.Due(), start.Add(2*minEjection))
	d.Probe()
	d.Sample(start, 1, 1)
	is.Equal(d.State(), Ready)
}

// All targets slow down together in an overload, so none of them is a straggler.
func TestOverloadEjectsNoTarget(t *testing.T) {
	is := is.New(t)
	var d Detector
	for range 50 {
		d.Sample(start, 8, 8)
	}
	is.Equal(d.State(), Ready)
}

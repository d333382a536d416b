package deadline

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Answer times vary between half and one and a half times the expected time.
// The margin must cover nearly all of them and have an upper limit.
func TestMarginCoversObservedErrors(t *testing.T) {
	is := is.New(t)
	var m Margin
	is.Equal(m.Factor(), minFactor)
	for i := range 500 {
		m.Observe(time.Duration(500+i*337%1000)*time.Millisecond, time.Second)
	}
	is.True(m.Factor() > 1.4)
	for range 500 {
		m.Observe(time.Minute, time.Second)
	}
	is.Equal(m.Factor(), maxFactor)
	is.True(m.TightFactor() < m.Factor())
}

package deadline

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Answers scatter between half and one and a half of what was expected. The
// margin must cover nearly all of them, and never grow without bound.
func TestMarginCoversTheErrorsSeen(t *testing.T) {
	is := is.New(t)
	var m Margin
	is.Equal(m.Factor(), least)
	for i := range 500 {
		m.Sample(time.Duration(500+i*337%1000)*time.Millisecond, time.Second)
	}
	is.True(m.Factor() > 1.4)
	for range 500 {
		m.Sample(time.Minute, time.Second)
	}
	is.Equal(m.Factor(), most)
	is.True(m.Tight() < m.Factor())
}

package evidence_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/route/evidence"
)

// A target says that it drains. A load report from before that, and a host
// list that has not heard, must not send new work there again.
func TestSources(t *testing.T) {
	is := is.New(t)
	var told []string
	e := evidence.New(
		func(target, _ string) { told = append(told, "leaving "+target) },
		func(target string) { told = append(told, "back "+target) },
	)
	at := time.Unix(100, 0)
	e.ReportLeaving("t", evidence.SourceTarget, at)
	e.ReportStaying("t", evidence.SourceTarget, at.Add(-time.Second)) // a late report
	e.ReportStaying("t", evidence.SourceHosts, at.Add(time.Second))   // never said otherwise
	is.Equal(told, []string{"leaving t"})
	e.ReportLeaving("t", evidence.SourceHosts, at.Add(2*time.Second))
	e.ReportStaying("t", evidence.SourceTarget, at.Add(3*time.Second))
	is.Equal(told, []string{"leaving t"})
	e.ReportStaying("t", evidence.SourceHosts, at.Add(4*time.Second))
	is.Equal(told, []string{"leaving t", "back t"})
}

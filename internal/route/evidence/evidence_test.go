package evidence_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/route/evidence"
)

// Guards against new requests to a target that announced that it drains, because
// of an older load report or a host list that lags behind.
func TestTargetLeavesUntilAllSourcesRetract(t *testing.T) {
	is := is.New(t)
	var changes []string
	e := evidence.New(
		func(target, _ string) { changes = append(changes, "leaving "+target) },
		func(target string) { changes = append(changes, "back "+target) },
	)
	at := time.Unix(100, 0)
	e.ReportLeaving("t", evidence.SourceTarget, at)
	e.ReportStaying("t", evidence.SourceTarget, at.Add(-time.Second)) // a late report
	e.ReportStaying("t", evidence.SourceHosts, at.Add(time.Second))   // had not reported it as leaving
	is.Equal(changes, []string{"leaving t"})
	e.ReportLeaving("t", evidence.SourceHosts, at.Add(2*time.Second))
	e.ReportStaying("t", evidence.SourceTarget, at.Add(3*time.Second))
	is.Equal(changes, []string{"leaving t"})
	e.ReportStaying("t", evidence.SourceHosts, at.Add(4*time.Second))
	is.Equal(changes, []string{"leaving t", "back t"})
}

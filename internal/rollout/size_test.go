package rollout_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/fireflypath/fireflypath"
	decide "github.com/fireflypath/fireflypath/internal/decide/rollout"
)

// Guards against reports and records that grow beyond what docs/CAPACITY.md says.
func TestSizesOfMessages(t *testing.T) {
	var c decide.Counter
	for i := range 400 {
		route, target := fmt.Sprint("route-", i%4), ""
		if i%10 == 0 {
			target = fmt.Sprint("engine-", i%50)
		}
		c.See()
		c.First(route, target, time.Duration(80+i)*time.Millisecond)
		c.End(route, target, decide.Result{Pace: time.Duration(20+i%7) * time.Millisecond})
	}
	report, err := json.Marshal(c.Report())
	if err != nil {
		t.Fatal(err)
	}
	record, err := json.Marshal(fireflypath.RolloutRecord{
		ID: 1 << 63, Version: "2026-12-04-01", Phase: fireflypath.RolloutTrial, Holder: "edge-santiago-a-1", Term: 1, Began: 1 << 40, Reserved: 50,
		Why: "it fails more often than the old version on all routes together (evidence 1.00 of 1)", Tried: 1000, Failed: 10, Old: 10000,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("a report with %d samples has %d bytes, a record %d", len(c.Report().Cells), len(report), len(record))
	if len(report) > 3000 || len(record) > 512 {
		t.Error("they are too large")
	}
}

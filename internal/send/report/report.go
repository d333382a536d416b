// Package report reads load reports and other small JSON documents from targets.
package report

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/send"
)

const (
	// readTimeout bounds each read of a report. Targets respond from memory.
	readTimeout = time.Second
	// maxBody bounds a report or a list of cache events in bytes.
	maxBody = 1 << 20
)

// Reader reads small JSON documents over connections of its own, so that a connection
// that stopped delivering bytes cannot delay requests.
type Reader struct {
	sender *send.Sender
	clock  clockwork.Clock
}

// New returns a Reader without connections.
func New(clock clockwork.Clock) *Reader {
	return &Reader{sender: send.New(readTimeout), clock: clock}
}

// Close closes the idle connections.
func (r *Reader) Close() {
	r.sender.Close()
}

// loadReport is the load report specified in docs/PROTOCOLS.md.
type loadReport struct {
	At       int64 `json:"at"`
	Running  int   `json:"running"`
	Waiting  int   `json:"waiting"`
	Tokens   int   `json:"tokens"`
	Batch    int   `json:"batch"`
	Draining bool  `json:"draining"`
}

// Load reads a target's load report and appends two events: the report itself, and whether
// the target is draining.
func (r *Reader) Load(ctx context.Context, target fireflypath.Target, events []fireflypath.Event) ([]fireflypath.Event, error) {
	var reported loadReport
	if err := r.Get(ctx, target, "/load", &reported); err != nil {
		return events, err
	}
	now := r.clock.Now()
	measured := time.UnixMilli(reported.At)
	if measured.After(now) {
		// The target's clock is ahead. The report cannot be newer than its arrival.
		measured = now
	}
	kind := fireflypath.EventStaying
	if reported.Draining {
		kind = fireflypath.EventLeaving
	}
	report := fireflypath.Report{
		MeasuredAt: measured, Running: reported.Running, Waiting: reported.Waiting, Tokens: reported.Tokens, MaxRunning: reported.Batch,
	}
	return append(events,
		fireflypath.Event{Kind: fireflypath.EventReport, Target: target.Name, Cached: -1, Report: report},
		fireflypath.Event{Kind: kind, Target: target.Name, Cached: -1, Report: report},
	), nil
}

// Get reads the JSON document at the path into v.
func (r *Reader) Get(ctx context.Context, t fireflypath.Target, path string, v any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(t.Addr)
	req.SetRequestURI(path)
	x, err := r.sender.Send(ctx, t.Addr, req, false)
	if err != nil {
		return errors.Wrapf(err, "read %s of %s", path, t.Name)
	}
	defer x.Close()
	if x.Header.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("read %s of %s: status %d", path, t.Name, x.Header.StatusCode())
	}
	body, err := io.ReadAll(io.LimitReader(x, maxBody))
	if err != nil {
		return errors.Wrapf(err, "read %s of %s", path, t.Name)
	}
	return errors.Wrapf(json.Unmarshal(body, v), "parse %s of %s", path, t.Name)
}

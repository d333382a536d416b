// Package report reads the load reports of targets.
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
	// silence bounds reading a report: targets answer it from memory.
	silence = time.Second
	// maxBody bounds a report or a list of cache events.
	maxBody = 1 << 20
)

// Reader reads small JSON answers over connections of its own, so that a
// silent one cannot hold up work.
type Reader struct {
	sender *send.Sender
	clock  clockwork.Clock
}

// New returns a Reader.
func New(clock clockwork.Clock) *Reader {
	return &Reader{sender: send.New(silence), clock: clock}
}

// Close drops the idle connections.
func (r *Reader) Close() {
	r.sender.Close()
}

// load is the report as docs/PROTOCOLS.md gives it.
type load struct {
	At       int64 `json:"at"`
	Running  int   `json:"running"`
	Waiting  int   `json:"waiting"`
	Tokens   int   `json:"tokens"`
	Batch    int   `json:"batch"`
	Draining bool  `json:"draining"`
}

// Load reads a target's report; the second event tells whether it drains.
func (r *Reader) Load(ctx context.Context, t fireflypath.Target, out []fireflypath.Event) ([]fireflypath.Event, error) {
	var l load
	if err := r.Get(ctx, t, "/load", &l); err != nil {
		return out, err
	}
	now := r.clock.Now()
	measured := time.UnixMilli(l.At)
	if measured.After(now) {
		// The target's clock is ahead; its reading is not newer than its arrival.
		measured = now
	}
	kind := fireflypath.EventStaying
	if l.Draining {
		kind = fireflypath.EventLeaving
	}
	rep := fireflypath.Report{
		Measured: measured, Running: l.Running, Waiting: l.Waiting, Tokens: l.Tokens, Batch: l.Batch,
	}
	return append(out,
		fireflypath.Event{Kind: fireflypath.EventReport, Target: t.Name, Cached: -1, Report: rep},
		fireflypath.Event{Kind: kind, Target: t.Name, Cached: -1, Report: rep},
	), nil
}

// Get reads one JSON answer.
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

// Package record starts the record of a request, which the command "why" shows.
package record

import (
	"context"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/record/draft"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// Record is the step that starts a request's record. A request that is refused by
// an earlier step gets a record of its end only.
type Record struct {
	recorder fireflypath.Recorder
}

// New returns the step; with a nil recorder no records are kept.
func New(recorder fireflypath.Recorder) *Record {
	return &Record{recorder: recorder}
}

// String returns the name of the step.
func (*Record) String() string {
	return "record"
}

// Run sets the draft of the record that later steps write to.
func (s *Record) Run(_ context.Context, r *request.Request) error {
	r.Draft = draft.New(s.recorder, &r.Work, r.Config.Generation)
	return nil
}

// Package record begins the record of a request, for "why".
package record

import (
	"context"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/record/draft"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// Record is the step; requests refused before it get a record of their end only.
type Record struct {
	recorder fireflypath.Recorder
}

// New returns the step; a nil recorder keeps none.
func New(to fireflypath.Recorder) *Record {
	return &Record{recorder: to}
}

// String names the step.
func (*Record) String() string {
	return "record"
}

// Run sets the draft that the later steps write to.
func (s *Record) Run(_ context.Context, r *request.Request) error {
	r.Draft = draft.New(s.recorder, &r.Work, r.Config.Generation)
	return nil
}

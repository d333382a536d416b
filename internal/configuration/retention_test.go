package configuration

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// Guards the retention of the audit trail: at least the set number of lines is kept, older
// ones are removed, and a smaller setting does not shorten how far back IDs are found.
func TestSetRetention(t *testing.T) {
	is := is.New(t)
	r := newRegistry("d1", newStore())
	r.SetRetention(500)
	const n = 800
	for i := range n {
		is.NoErr(r.AppendAudit(t.Context(), fireflypath.AuditLine{ID: fmt.Sprint("n", i), Command: "order"}))
	}
	lines, err := r.Trail(t.Context(), 2*n)
	is.NoErr(err)
	is.True(len(lines) >= 500)
	is.True(len(lines) <= 500+maxTailLines+linesPerPage)
	is.Equal(lines[0].ID, "n799")
	_, err = r.FindCommit(t.Context(), "n500")
	is.NoErr(err)
	r.SetRetention(1)
	is.Equal(r.retainedPages, maxLookupPages) // an id must stay known for as long as it may be repeated
}

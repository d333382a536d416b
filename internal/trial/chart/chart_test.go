package chart

import (
	"image/png"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/trial"
)

func TestWriteDrawsEachMetric(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "new")
	rows := []trial.Row{
		{Load: "steady", Mix: "pozo", Policy: "shipped", Tier: "all", Goodput: 1},
		{Load: "steady", Mix: "pozo", Policy: "rr", Tier: "all", Goodput: 0.5},
	}
	is.NoErr(Write(dir, rows))
	for _, m := range metrics() {
		f, err := os.Open(filepath.Join(dir, "pozo-"+m.file+".png"))
		is.NoErr(err)
		img, err := png.Decode(f)
		is.NoErr(err)
		is.True(img.Bounds().Dx() > 500)
		f.Close()
	}
}

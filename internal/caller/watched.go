package caller

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// watched is a streamed answer whose caller is watched until its end.
type watched struct {
	io.ReadCloser
	end func()
}

// Close ends the watch.
func (w *watched) Close() error {
	defer w.end()
	return w.ReadCloser.Close()
}

func asSmall(err error, small **fasthttp.ErrSmallBuffer) bool {
	return errors.As(err, small)
}

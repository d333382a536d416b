package caller

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// watchedStream is a streamed answer whose caller is watched until its end.
type watchedStream struct {
	io.ReadCloser
	stopWatch func()
}

// Close ends the watch.
func (w *watchedStream) Close() error {
	defer w.stopWatch()
	return w.ReadCloser.Close()
}

func asSmallBuffer(err error, small **fasthttp.ErrSmallBuffer) bool {
	return errors.As(err, small)
}

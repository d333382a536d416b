package caller

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// watchedStream is a streamed response body. Until it is closed, the caller's connection is
// watched for a disconnect.
type watchedStream struct {
	io.ReadCloser
	stopWatch func()
}

// Close closes the stream and stops watching the caller's connection.
func (w *watchedStream) Close() error {
	defer w.stopWatch()
	return w.ReadCloser.Close()
}

func asSmallBuffer(err error, small **fasthttp.ErrSmallBuffer) bool {
	return errors.As(err, small)
}

// Package forward asks another daemon's operators' endpoint.
package forward

import (
	"crypto/tls"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/operator/wire"
)

// maxAnswer bounds what is read from the other daemon; "why" is some kilobytes.
const maxAnswer = 1 << 20

// Client implements operator.Forwarder over HTTP.
type Client struct {
	http   fasthttp.Client
	scheme string
}

// New returns a client; a nil configuration means without TLS.
func New(cfg *tls.Config) *Client {
	c := &Client{scheme: "http"}
	if cfg != nil {
		c.scheme = "https"
		c.http.TLSConfig = cfg
	}
	c.http.MaxResponseBodySize = maxAnswer
	return c
}

// Ask sends the query once with the asker's own key.
func (c *Client) Ask(addr, authorization, words string, timeout time.Duration) (int, []byte, error) {
	body, err := json.Marshal(wire.QueryRequest{Text: words})
	if err != nil {
		return 0, nil, errors.Wrap(err, "write the query")
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(c.scheme + "://" + addr + wire.PathAsk)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(fasthttp.HeaderAuthorization, authorization)
	req.Header.Set(wire.HeaderForwarded, "1")
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, res, timeout); err != nil {
		return 0, nil, errors.Wrapf(err, "ask %s", addr)
	}
	return res.StatusCode(), append([]byte(nil), res.Body()...), nil
}

// Package forward sends operators' queries to other daemons.
package forward

import (
	"crypto/tls"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/operator/wire"
)

// maxResponseBytes limits the size of a response from another daemon. The answer to
// "why" takes a few kilobytes.
const maxResponseBytes = 1 << 20

// Client implements operator.Forwarder over HTTP.
type Client struct {
	http   fasthttp.Client
	scheme string
}

// New returns a client. It uses TLS unless cfg is nil.
func New(cfg *tls.Config) *Client {
	c := &Client{scheme: "http"}
	if cfg != nil {
		c.scheme = "https"
		c.http.TLSConfig = cfg
	}
	c.http.MaxResponseBodySize = maxResponseBytes
	return c
}

// Ask sends the query once, with the credentials of the operator who sent it.
func (c *Client) Ask(addr, authorization, text string, timeout time.Duration) (int, []byte, error) {
	body, err := json.Marshal(wire.QueryRequest{Text: text})
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

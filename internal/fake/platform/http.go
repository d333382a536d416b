package platform

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/fake/fault"
	"github.com/fireflypath/fireflypath/internal/fake/wire"
)

// maxBody is above the largest value, so that a slightly larger one gets a 413 response.
const maxBody = 2 * fireflypath.MaxValue

// Listen starts to serve the protocol of docs/PROTOCOLS.md at the address.
func (f *Fake) Listen(addr string) error {
	ln, err := wire.Listen(addr)
	if err != nil {
		return err
	}
	f.ln = ln
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.served = make(chan struct{})
	f.server = &fasthttp.Server{
		Handler:               f.handle,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		Logger:                wire.DiscardLogger{},
	}
	go func() {
		defer close(f.served)
		// Serve only fails when the listener is closed.
		_ = f.server.Serve(ln)
	}()
	return nil
}

// Addr returns the address of the listener.
func (f *Fake) Addr() string {
	return f.ln.Addr().String()
}

// Close closes the listener and all connections.
func (f *Fake) Close() error {
	if f.ln == nil {
		return nil
	}
	f.cancel()
	err := f.ln.Close()
	<-f.served
	return err
}

func (f *Fake) handle(r *fasthttp.RequestCtx) {
	path, err := url.PathUnescape(string(r.URI().PathOriginal()))
	if err != nil {
		r.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	key, isKey := strings.CutPrefix(path, "/kv/")
	lease, isLease := strings.CutPrefix(path, "/leases/")
	switch {
	case isKey:
		err = f.serveKey(r, key)
	case isLease:
		err = f.serveLease(r, lease)
	default:
		err = f.serveOther(r, path)
	}
	if err != nil {
		writeError(r, err)
	}
}

// writeError responds with the status of an error. For ErrUnknown it closes the
// connection without a response.
func writeError(r *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fireflypath.ErrUnknown) {
		wire.CloseConnection(r)
		return
	}
	statuses := []struct {
		err    error
		status int
	}{
		{fireflypath.ErrNotFound, fasthttp.StatusNotFound},
		{fireflypath.ErrConflict, fasthttp.StatusConflict},
		{fireflypath.ErrLeaseExpired, fasthttp.StatusGone},
		{fireflypath.ErrLimited, fasthttp.StatusTooManyRequests},
		{fireflypath.ErrUnavailable, fasthttp.StatusServiceUnavailable},
		{errValueTooLarge, fasthttp.StatusRequestEntityTooLarge},
	}
	for _, s := range statuses {
		if errors.Is(err, s.err) {
			r.Error(err.Error(), s.status)
			return
		}
	}
	r.Error(err.Error(), fasthttp.StatusBadRequest)
}

func (f *Fake) serveKey(r *fasthttp.RequestCtx, key string) error {
	revision, err := uintArg(r, "revision", fireflypath.AnyRevision)
	if err != nil {
		return err
	}
	switch {
	case r.IsGet():
		e, err := f.Store().Get(r, key)
		if err != nil {
			return err
		}
		r.Response.Header.Set("Revision", strconv.FormatUint(e.Revision, 10))
		r.SetBody(e.Value)
	case r.IsPut():
		lease, err := uintArg(r, "lease", 0)
		if err != nil {
			return err
		}
		written, err := f.Store().Put(r, key, r.PostBody(), revision, fireflypath.LeaseID(lease))
		if err != nil {
			return err
		}
		r.Response.Header.Set("Revision", strconv.FormatUint(written, 10))
	case r.IsDelete():
		return f.Store().Delete(r, key, revision)
	default:
		r.Error("", fasthttp.StatusMethodNotAllowed)
	}
	return nil
}

func (f *Fake) serveLease(r *fasthttp.RequestCtx, text string) error {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return errors.Wrapf(err, "parse lease %q", text)
	}
	id := fireflypath.LeaseID(n)
	switch {
	case r.IsPut():
		err = f.Store().Renew(r, id)
	case r.IsDelete():
		err = f.Store().Revoke(r, id)
	default:
		r.Error("", fasthttp.StatusMethodNotAllowed)
	}
	if errors.Is(err, fireflypath.ErrLeaseExpired) {
		err = fireflypath.ErrNotFound
	}
	return err
}

func (f *Fake) serveOther(r *fasthttp.RequestCtx, path string) error {
	switch path {
	case "/kv":
		entries, err := f.Store().List(r, string(r.QueryArgs().Peek("prefix")))
		return writeJSON(r, entries, err)
	case "/watch":
		return f.serveWatch(r)
	case "/leases":
		ttl, err := durationArg(r, "ttl")
		if err != nil {
			return err
		}
		id, err := f.Store().Grant(r, ttl)
		return writeJSON(r, struct {
			ID fireflypath.LeaseID `json:"id"`
		}{id}, err)
	case "/hosts":
		hosts, err := f.HostList().Hosts(r)
		return writeJSON(r, hosts, err)
	case "/counts":
		return writeJSON(r, f.Counts(), nil)
	case "/fault":
		flt, err := fault.Parse(r.PostBody())
		if err != nil {
			return err
		}
		return f.Fault(flt)
	}
	r.Error("no such path", fasthttp.StatusNotFound)
	return nil
}

func (f *Fake) serveWatch(r *fasthttp.RequestCtx) error {
	after, err := uintArg(r, "after", 0)
	if err != nil {
		return err
	}
	wait, err := durationArg(r, "wait")
	if err != nil {
		return err
	}
	entries, err := f.Store().Watch(f.ctx, string(r.QueryArgs().Peek("prefix")), after, wait)
	if entries == nil {
		entries = []fireflypath.Entry{}
	}
	return writeJSON(r, entries, err)
}

func writeJSON(r *fasthttp.RequestCtx, v any, err error) error {
	if err != nil {
		return err
	}
	r.SetContentType("application/json")
	return json.NewEncoder(r).Encode(v)
}

func uintArg(r *fasthttp.RequestCtx, name string, defaultValue uint64) (uint64, error) {
	text := r.QueryArgs().Peek(name)
	if text == nil {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(string(text), 10, 64)
	return n, errors.Wrapf(err, "parse %s", name)
}

func durationArg(r *fasthttp.RequestCtx, name string) (time.Duration, error) {
	d, err := time.ParseDuration(string(r.QueryArgs().Peek(name)))
	return d, errors.Wrapf(err, "parse %s", name)
}

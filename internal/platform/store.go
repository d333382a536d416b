package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

// Errors that callers do not handle.
var (
	errUnexpectedStatus  = errors.New("platform service gave an unexpected status")
	errMalformedResponse = errors.New("platform service gave an answer that cannot be read")
)

// operation is one request to the service.
type operation struct {
	method string
	path   string
	body   []byte
	// wait is how long the service may delay its response.
	wait time.Duration
}

// lostResponseError returns the error for a request without a response. A read had no
// effect; a write may have been applied.
func (op operation) lostResponseError() error {
	if op.method == http.MethodGet {
		return fireflypath.ErrUnavailable
	}
	return fireflypath.ErrUnknown
}

// checkStatus returns the error for the status of a response, or nil for success.
func checkStatus(op operation, resp response) error {
	errByStatus := map[int]error{
		http.StatusNotFound:           fireflypath.ErrNotFound,
		http.StatusConflict:           fireflypath.ErrConflict,
		http.StatusGone:               fireflypath.ErrLeaseExpired,
		http.StatusTooManyRequests:    fireflypath.ErrLimited,
		http.StatusServiceUnavailable: fireflypath.ErrUnavailable,
	}
	if resp.status == http.StatusOK {
		return nil
	}
	err, ok := errByStatus[resp.status]
	if !ok {
		err = errUnexpectedStatus
	}
	return errors.Wrapf(err, "%s %s: status %d", op.method, op.path, resp.status)
}

// execute sends an operation and checks the status of the response.
func (c *Client) execute(ctx context.Context, op operation) (response, error) {
	resp, err := c.roundTrip(ctx, op)
	if err != nil {
		return response{}, err
	}
	return resp, checkStatus(op, resp)
}

func keyPath(key string, revision uint64, lease fireflypath.LeaseID) string {
	q := url.Values{}
	if revision != fireflypath.AnyRevision {
		q.Set("revision", strconv.FormatUint(revision, 10))
	}
	if lease != 0 {
		q.Set("lease", strconv.FormatUint(uint64(lease), 10))
	}
	path := "/kv/" + url.PathEscape(key)
	if len(q) == 0 {
		return path
	}
	return path + "?" + q.Encode()
}

// Get implements fireflypath.Store.
func (c *Client) Get(ctx context.Context, key string) (fireflypath.Entry, error) {
	resp, err := c.execute(ctx, operation{method: http.MethodGet, path: keyPath(key, fireflypath.AnyRevision, 0)})
	if err != nil {
		return fireflypath.Entry{}, err
	}
	revision, err := strconv.ParseUint(resp.revision, 10, 64)
	if err != nil {
		return fireflypath.Entry{}, errors.Wrapf(errMalformedResponse, "revision %q of %s", resp.revision, key)
	}
	return fireflypath.Entry{Key: key, Value: resp.body, Revision: revision}, nil
}

// Put implements fireflypath.Store.
func (c *Client) Put(
	ctx context.Context, key string, value []byte, revision uint64, lease fireflypath.LeaseID,
) (uint64, error) {
	resp, err := c.execute(ctx, operation{method: http.MethodPut, path: keyPath(key, revision, lease), body: value})
	if err != nil {
		return 0, err
	}
	newRevision, err := strconv.ParseUint(resp.revision, 10, 64)
	if err != nil {
		return 0, errors.Wrapf(fireflypath.ErrUnknown, "revision %q of %s", resp.revision, key)
	}
	return newRevision, nil
}

// Delete implements fireflypath.Store.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) error {
	_, err := c.execute(ctx, operation{method: http.MethodDelete, path: keyPath(key, revision, 0)})
	return err
}

// List implements fireflypath.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]fireflypath.Entry, error) {
	var entries []fireflypath.Entry
	err := c.executeJSON(ctx, operation{method: http.MethodGet, path: "/kv?prefix=" + url.QueryEscape(prefix)}, &entries)
	return entries, err
}

// Watch implements fireflypath.Store.
func (c *Client) Watch(
	ctx context.Context, prefix string, after uint64, wait time.Duration,
) ([]fireflypath.Entry, error) {
	path := fmt.Sprintf("/watch?prefix=%s&after=%d&wait=%s", url.QueryEscape(prefix), after, wait)
	var entries []fireflypath.Entry
	err := c.executeJSON(ctx, operation{method: http.MethodGet, path: path, wait: wait}, &entries)
	return entries, err
}

// Grant implements fireflypath.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (fireflypath.LeaseID, error) {
	var created struct {
		ID fireflypath.LeaseID `json:"id"`
	}
	err := c.executeJSON(ctx, operation{method: http.MethodPost, path: "/leases?ttl=" + ttl.String()}, &created)
	return created.ID, err
}

// Renew implements fireflypath.Store.
func (c *Client) Renew(ctx context.Context, id fireflypath.LeaseID) error {
	return c.leaseRequest(ctx, http.MethodPut, id)
}

// Revoke implements fireflypath.Store.
func (c *Client) Revoke(ctx context.Context, id fireflypath.LeaseID) error {
	return c.leaseRequest(ctx, http.MethodDelete, id)
}

func (c *Client) leaseRequest(ctx context.Context, method string, id fireflypath.LeaseID) error {
	_, err := c.execute(ctx, operation{method: method, path: "/leases/" + strconv.FormatUint(uint64(id), 10)})
	if errors.Is(err, fireflypath.ErrNotFound) {
		return errors.Wrapf(fireflypath.ErrLeaseExpired, "lease %d", id)
	}
	return err
}

// Hosts implements fireflypath.Hosts.
func (c *Client) Hosts(ctx context.Context) ([]fireflypath.Host, error) {
	var hosts []fireflypath.Host
	err := c.executeJSON(ctx, operation{method: http.MethodGet, path: "/hosts"}, &hosts)
	return hosts, err
}

// executeJSON executes an operation and decodes its JSON response into out.
func (c *Client) executeJSON(ctx context.Context, op operation, out any) error {
	resp, err := c.execute(ctx, op)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.body, out); err != nil {
		return errors.Wrapf(errMalformedResponse, "%s %s: %s", op.method, op.path, err)
	}
	return nil
}

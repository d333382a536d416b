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

// Errors of this layer that no caller acts on.
var (
	errStatus = errors.New("platform service gave an unexpected status")
	errAnswer = errors.New("platform service gave an answer that cannot be read")
)

// call is one request to the service.
type call struct {
	method string
	path   string
	body   []byte
	// wait is how long the service may hold the call back.
	wait time.Duration
}

// lost is what a call without an answer means: a read had no effect, a write may have.
func (k call) lost() error {
	if k.method == http.MethodGet {
		return fireflypath.ErrUnavailable
	}
	return fireflypath.ErrUnknown
}

// check turns a status into an error.
func check(k call, a answer) error {
	errs := map[int]error{
		http.StatusNotFound:           fireflypath.ErrNotFound,
		http.StatusConflict:           fireflypath.ErrConflict,
		http.StatusGone:               fireflypath.ErrLeaseExpired,
		http.StatusTooManyRequests:    fireflypath.ErrLimited,
		http.StatusServiceUnavailable: fireflypath.ErrUnavailable,
	}
	if a.status == http.StatusOK {
		return nil
	}
	err, ok := errs[a.status]
	if !ok {
		err = errStatus
	}
	return errors.Wrapf(err, "%s %s: status %d", k.method, k.path, a.status)
}

func (c *Client) exchange(ctx context.Context, k call) (answer, error) {
	a, err := c.do(ctx, k)
	if err != nil {
		return answer{}, err
	}
	return a, check(k, a)
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
	a, err := c.exchange(ctx, call{method: http.MethodGet, path: keyPath(key, fireflypath.AnyRevision, 0)})
	if err != nil {
		return fireflypath.Entry{}, err
	}
	revision, err := strconv.ParseUint(a.revision, 10, 64)
	if err != nil {
		return fireflypath.Entry{}, errors.Wrapf(errAnswer, "revision %q of %s", a.revision, key)
	}
	return fireflypath.Entry{Key: key, Value: a.body, Revision: revision}, nil
}

// Put implements fireflypath.Store.
func (c *Client) Put(
	ctx context.Context, key string, value []byte, revision uint64, lease fireflypath.LeaseID,
) (uint64, error) {
	a, err := c.exchange(ctx, call{method: http.MethodPut, path: keyPath(key, revision, lease), body: value})
	if err != nil {
		return 0, err
	}
	got, err := strconv.ParseUint(a.revision, 10, 64)
	if err != nil {
		return 0, errors.Wrapf(fireflypath.ErrUnknown, "revision %q of %s", a.revision, key)
	}
	return got, nil
}

// Delete implements fireflypath.Store.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) error {
	_, err := c.exchange(ctx, call{method: http.MethodDelete, path: keyPath(key, revision, 0)})
	return err
}

// List implements fireflypath.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]fireflypath.Entry, error) {
	var found []fireflypath.Entry
	err := c.read(ctx, call{method: http.MethodGet, path: "/kv?prefix=" + url.QueryEscape(prefix)}, &found)
	return found, err
}

// Watch implements fireflypath.Store.
func (c *Client) Watch(
	ctx context.Context, prefix string, after uint64, wait time.Duration,
) ([]fireflypath.Entry, error) {
	path := fmt.Sprintf("/watch?prefix=%s&after=%d&wait=%s", url.QueryEscape(prefix), after, wait)
	var found []fireflypath.Entry
	err := c.read(ctx, call{method: http.MethodGet, path: path, wait: wait}, &found)
	return found, err
}

// Grant implements fireflypath.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (fireflypath.LeaseID, error) {
	var got struct {
		ID fireflypath.LeaseID `json:"id"`
	}
	err := c.read(ctx, call{method: http.MethodPost, path: "/leases?ttl=" + ttl.String()}, &got)
	return got.ID, err
}

// Renew implements fireflypath.Store.
func (c *Client) Renew(ctx context.Context, id fireflypath.LeaseID) error {
	return c.lease(ctx, http.MethodPut, id)
}

// Revoke implements fireflypath.Store.
func (c *Client) Revoke(ctx context.Context, id fireflypath.LeaseID) error {
	return c.lease(ctx, http.MethodDelete, id)
}

func (c *Client) lease(ctx context.Context, method string, id fireflypath.LeaseID) error {
	_, err := c.exchange(ctx, call{method: method, path: "/leases/" + strconv.FormatUint(uint64(id), 10)})
	if errors.Is(err, fireflypath.ErrNotFound) {
		return errors.Wrapf(fireflypath.ErrLeaseExpired, "lease %d", id)
	}
	return err
}

// Hosts implements fireflypath.Hosts.
func (c *Client) Hosts(ctx context.Context) ([]fireflypath.Host, error) {
	var hosts []fireflypath.Host
	err := c.read(ctx, call{method: http.MethodGet, path: "/hosts"}, &hosts)
	return hosts, err
}

// read does a call whose answer is JSON.
func (c *Client) read(ctx context.Context, k call, v any) error {
	a, err := c.exchange(ctx, k)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, v); err != nil {
		return errors.Wrapf(errAnswer, "%s %s: %s", k.method, k.path, err)
	}
	return nil
}

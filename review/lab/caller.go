package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// sentRequest is a request of a caller and what became of it.
type sentRequest struct {
	id     string
	daemon string
	at     time.Time
	status int
	err    error
}

// call describes the requests of a caller.
type call struct {
	host, path, key string
	tokens          string
	deadline        time.Duration
}

// callers send requests at a rate that their answers do not change.
type callers struct {
	rec    *record
	client *http.Client
	last   atomic.Int64
	wg     sync.WaitGroup

	mu   sync.Mutex
	sent []*sentRequest
}

func newCallers(rec *record) *callers {
	return &callers{rec: rec, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
}

// send sends one request and returns at once.
func (c *callers) send(d *daemon, spec call) {
	s := &sentRequest{id: fmt.Sprintf("%016x", c.last.Add(1)), daemon: d.name}
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		status, err := c.exchange(s, d.callers, spec)
		c.mu.Lock()
		s.status, s.err = status, err
		c.mu.Unlock()
		c.rec.line("answer %s %d %v", s.id, status, err)
	}()
}

func (c *callers) exchange(s *sentRequest, addr string, spec call) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), spec.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+spec.path, nil)
	if err != nil {
		return 0, err
	}
	req.Host = spec.host
	req.Header.Set(headers.ID, s.id)
	req.Header.Set(headers.Deadline, strconv.FormatInt(spec.deadline.Milliseconds(), 10))
	if spec.key != "" {
		req.Header.Set(headers.Key, spec.key)
	}
	if spec.tokens != "" {
		req.Header.Set(headers.Tokens, spec.tokens)
	}
	s.at = time.Now()
	c.rec.line("send  %s to %s", s.id, s.daemon)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// finish waits for all answers and returns the requests by id.
func (c *callers) finish() map[string]*sentRequest {
	c.wg.Wait()
	out := make(map[string]*sentRequest, len(c.sent))
	for _, s := range c.sent {
		out[s.id] = s
	}
	return out
}

// statuses counts the answers by status; 0 stands for none.
func statuses(sent map[string]*sentRequest) map[int]int {
	out := map[int]int{}
	for _, s := range sent {
		out[s.status]++
	}
	return out
}

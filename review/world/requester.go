package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one request as its requester saw it.
type attempt struct {
	id     string
	sent   time.Time
	status int
}

// requester sends one request after the other to one daemon over a kept channel.
type requester struct {
	key    string
	daemon *daemon
	record *record
	client *http.Client

	mu       sync.Mutex
	attempts []attempt
}

var lastRequest atomic.Int64

func newRequester(key string, d *daemon, r *record) *requester {
	return &requester{
		key: key, daemon: d, record: r,
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// sendAll has all requesters send until stop is called.
func sendAll(requesters []*requester) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, q := range requesters {
		wg.Go(func() { q.run(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// run sends requests until the context ends.
func (q *requester) run(ctx context.Context) {
	t := time.NewTicker(sendPause)
	defer t.Stop()
	for {
		q.send()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// send sends one request and reads its answer.
func (q *requester) send() {
	id := fmt.Sprintf("%016x", lastRequest.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+q.daemon.front+path, strings.NewReader("body of "+id))
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set(headers.ID, id)
	req.Header.Set(headers.Deadline, "3000")
	req.Header.Set(headers.Key, q.key)
	a := attempt{id: id, sent: time.Now()}
	q.record.line("the requester with %s sends %s to %s", q.key, id, q.daemon.name)
	resp, err := q.client.Do(req)
	if err == nil {
		a.status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body) // only the status matters here
		resp.Body.Close()
	}
	q.record.line("the requester with %s got %d for %s", q.key, a.status, id)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.attempts = append(q.attempts, a)
}

// all returns the requests so far.
func (q *requester) all() []attempt {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]attempt(nil), q.attempts...)
}
